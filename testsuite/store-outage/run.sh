#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The key-value store is down for longer than every lease, is slow, and loses
# answers after the effect; operators race.
set -u
. "$(dirname "$0")/../lib.sh"

start_kv
for n in 1 2; do add_worker "w$n" plaka "r$n" --cpu-millis 8000 --memory-mib 16384; done
add_backend b1 plaka w1 listening-stream 4
start_plaka 2
apply_config plaka-1 || fail "configuration"
targets="127.0.0.1:${PORT[plaka-1]},127.0.0.1:${PORT[plaka-2]}"

write_job long 4 run-ms=8000
long=$(submit plaka-1 long) || fail "submit"
write_job late 2 run-ms=500

echo "== down for 20 s"
set_fault kv '{"down": true}'
down=$(now)
start_load during "$targets" --prefix /svc/listening-stream --connections 4 --requests 100000 --seconds 18 --pause-ms 5
start_load keyed "$targets" --prefix /svc/listening-stream --connections 1 --requests 100000 --seconds 18 --pause-ms 100 --once --keys
sleep 2
cli plaka-1 submit -f "$WORK/late.yaml" >/dev/null 2>&1
echo "submit: exit $?"
cli plaka-2 apply -f "$WORK/config.yaml" >/dev/null 2>&1
echo "apply: exit $?"
# An instance that starts while the store is down adopts the configuration
# revision of its peers.
kill -KILL "${PID[plaka-2]}"
wait "${PID[plaka-2]}" 2>/dev/null
start_entry plaka-2
revision_of() {
  [ "$(cli "$1" --output json status 2>/dev/null | jq --arg i "$1" '.[] | select(.instance == $i) | .revision')" = "$2" ]
}
within 10 revision_of plaka-2 1 && echo "restarted instance has revision 1"
within 15 workers_held plaka-1 2 && echo "workers are held without the store"
wait "${PID[during]}" "${PID[keyed]}"
sleep 1
successes_so_far=$(jq -s '[.[] | select(.event == "end" and .how == "succeeded")] | length' "$WORK/workers.record")
echo "tasks that finished during the outage: $successes_so_far of 4"
set_fault kv '{"down": false}'
up=$(now)
cli plaka-1 job wait "$long" --for 60 >/dev/null && echo "job succeeded after the outage"
record_figure "store down for $(awk -v a="$down" -v b="$up" 'BEGIN {printf "%.0f", b - a}') s: accepted job told finished $(seconds_since "$up") s after its end"
late=$(submit plaka-2 late) || fail "submit after the outage"
cli plaka-2 job wait "$late" --for 60 >/dev/null && echo "new job succeeded after the outage"

echo "== slow, 300 ms a call"
set_fault kv '{"slow_ms": 300}'
late=$(submit plaka-1 late) || fail "submit while slow"
cli plaka-1 job wait "$late" --for 60 >/dev/null && echo "job succeeded with a slow store"
set_fault kv '{"slow_ms": 0}'

echo "== answers lost after the effect"
sed 's/200/300/' "$WORK/config.yaml" >"$WORK/next.yaml"
set_fault kv '{"lose": 1}'
cli plaka-1 apply -f "$WORK/next.yaml" --operation lost-1 >/dev/null 2>&1
code=$?
if [ "$code" -ne 0 ]; then
  # The answer of another write was lost instead, or the outcome was reported as
  # unknown.
  cli plaka-1 apply -f "$WORK/next.yaml" --operation lost-1 >/dev/null 2>&1
fi
cli plaka-1 --output json config history | jq -r '[.[] | select(.operation == "lost-1")] | "revisions made by the change: \(length)"'
set_fault kv '{"lose": 2}'
late=$(submit plaka-2 late) || fail "submit with lost answers"
cli plaka-2 job wait "$late" --for 60 >/dev/null && echo "job succeeded with lost answers"
echo "tasks started twice: $(count_started_twice "$late")"

echo "== eight operators race on one revision"
base=$(cli plaka-1 --output json config history | jq '.[0].revision')
pids=()
for n in $(seq 8); do
  entry=plaka-$((1 + n % 2))
  cli "$entry" apply -f "$WORK/next.yaml" --base "$base" >"$WORK/race-$n" 2>&1 &
  pids+=($!)
done
won=0
for pid in "${pids[@]}"; do
  wait "$pid" && won=$((won + 1))
done
echo "changes that won: $won"

echo "== what really happened"
echo "tasks in two places at once: $(list_double_runs | wc -l)"
echo "overcommitments: $(count_overcommitments)"
for load in during keyed; do
  echo "$load: wrong answers $(outcome $load wrong), falsely told not run $(count_false_not_run $load), ran twice $([ $load = keyed ] && count_duplicates keyed || echo -)"
  record_figure "load $load (store down): $(cat "$WORK/$load.json")"
done
echo "keyed requests that ran while no key could be recorded: $(outcome keyed whole)"
[ "$(outcome during whole)" -gt 500 ] || fail "too few whole answers: $(cat "$WORK/during.json")"
