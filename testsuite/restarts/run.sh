#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Kills and planned restarts of every instance, and the kill of a worker, under
# load.
set -u
. "$(dirname "$0")/../lib.sh"

start_kv
for n in 1 2 3; do add_worker "w$n" plaka "r$n" --cpu-millis 8000 --memory-mib 16384; done
add_backend b1 plaka w1 listening-stream 4
add_backend b2 plaka w2 listening-stream 4
start_plaka 3
apply_config plaka-1 || fail "configuration"
targets="127.0.0.1:${PORT[plaka-1]},127.0.0.1:${PORT[plaka-2]}"

write_job long 6 run-ms=20000
write_job once 3 run-ms=20000 "    repeatable: false"
long=$(submit plaka-1 long) || fail "submit"
once=$(submit plaka-2 once) || fail "submit"
start_load again "$targets" --prefix /svc/listening-stream --connections 4 --requests 100000 --seconds 22 --pause-ms 5
start_load keyed "$targets" --prefix /svc/listening-stream --connections 2 --requests 100000 --seconds 22 --pause-ms 50 --once --keys
sleep 1

for victim in plaka-1 plaka-2; do
  other=plaka-1
  [ "$victim" = plaka-1 ] && other=plaka-2
  kill -KILL "${PID[$victim]}"
  wait "${PID[$victim]}" 2>/dev/null
  killed=$(now)
  within 30 workers_held "$other" 3 || fail "workers not taken over from $victim"
  record_figure "kill -9 of $victim: workers taken over after $(seconds_since "$killed") s"
  within 30 shards_owned "$other" 8 || fail "shards not taken over from $victim"
  record_figure "kill -9 of $victim: shards taken over after $(seconds_since "$killed") s"
  start_entry "$victim"
  within 20 is_ready "$victim" || fail "$victim not ready"
  sleep 2
  echo "$victim was killed; its workers and shards were taken over"
done
wait "${PID[again]}" "${PID[keyed]}"

# Planned restarts one after another, as an operator's tool performs them.
start_load planned "$targets" --prefix /svc/listening-stream --connections 4 --requests 100000 --seconds 14 --pause-ms 5 --run-ms 30 --once
sleep 1
for leaver in plaka-1 plaka-2; do
  stopped=$(now)
  kill -TERM "${PID[$leaver]}"
  wait "${PID[$leaver]}"
  echo "$leaver ended with $?"
  record_figure "planned stop of $leaver took $(seconds_since "$stopped") s"
  start_entry "$leaver"
  within 20 is_ready "$leaver" || fail "$leaver not ready"
  sleep 2
done
wait "${PID[planned]}"

# A worker is killed together with the tasks that it runs.
write_job short 6 run-ms=3000
short=$(submit plaka-1 short) || fail "submit"
sleep 1
kill -KILL "${PID[w3]}"
killed=$(now)
cli plaka-1 job wait "$short" --for 60 >/dev/null && echo "job of a killed worker succeeded"
record_figure "kill -9 of a worker: its job finished after $(seconds_since "$killed") s"
cli plaka-2 job wait "$long" --for 60 >/dev/null && echo "long job succeeded"
cli plaka-1 job wait "$once" --for 60 >/dev/null && echo "job that may not be repeated succeeded"

echo "tasks that may not be repeated, started twice: $(count_started_twice "$once")"
echo "tasks in two places at once: $(list_double_runs | wc -l)"
echo "overcommitments: $(count_overcommitments)"
echo "most requests at once on a backend server of 4 slots: $(max_concurrent_requests | awk '{print ($1 <= 4) ? "within 4" : $1}')"
for load in again keyed planned; do
  echo "$load: wrong answers $(outcome $load wrong), falsely told not run $(count_false_not_run $load)"
  record_figure "load $load: $(cat "$WORK/$load.json")"
  [ "$(outcome $load whole)" -gt 200 ] || fail "$load: too few whole answers: $(cat "$WORK/$load.json")"
done
echo "keyed: ran twice $(count_duplicates keyed); planned: ran twice $(count_duplicates planned)"
echo "planned: cut off $(outcome planned broken), unknown $(outcome planned unknown)"
