#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Each instance is paused for longer than every lease and then resumes.
set -u
. "$(dirname "$0")/../lib.sh"

start_kv
for n in 1 2; do add_worker "w$n" plaka "r$n" --cpu-millis 8000 --memory-mib 16384; done
add_backend b1 plaka w1 listening-stream 4
start_plaka 2
apply_config plaka-1 || fail "configuration"

write_job long 5 run-ms=26000
write_job once 3 run-ms=26000 "    repeatable: false"
long=$(submit plaka-1 long) || fail "submit"
once=$(submit plaka-2 once) || fail "submit"
sleep 1
for victim in plaka-1 plaka-2; do
  other=plaka-1
  [ "$victim" = plaka-1 ] && other=plaka-2
  kill -STOP "${PID[$victim]}"
  paused=$(now)
  within 30 workers_held "$other" 2 || fail "workers not taken over from $victim"
  within 30 shards_owned "$other" 8 || fail "shards not taken over from $victim"
  record_figure "SIGSTOP of $victim: all taken over after $(seconds_since "$paused") s"
  sleep 2
  start_load "after-$victim" "127.0.0.1:${PORT[$victim]},127.0.0.1:${PORT[$other]}" --prefix /svc/listening-stream --connections 2 --requests 100 --seconds 20 --pause-ms 5 --once --deadline-ms 3000
  kill -CONT "${PID[$victim]}"
  echo "$victim was paused past its leases and goes on"
  wait "${PID[after-$victim]}"
  sleep 2
done
cli plaka-1 job wait "$long" --for 90 >/dev/null && echo "long job succeeded"
cli plaka-2 job wait "$once" --for 90 >/dev/null && echo "job that may not be repeated succeeded"
echo "long tasks started twice: $(count_started_twice "$long")"
echo "tasks that may not be repeated, started twice: $(count_started_twice "$once")"
echo "tasks in two places at once: $(list_double_runs | wc -l)"
echo "overcommitments: $(count_overcommitments)"
for victim in plaka-1 plaka-2; do
  load="after-$victim"
  echo "$load: wrong answers $(outcome "$load" wrong), falsely told not run $(count_false_not_run "$load"), ran twice $(count_duplicates "$load")"
  record_figure "load $load: $(cat "$WORK/$load.json")"
done
