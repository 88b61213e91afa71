#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# End-to-end test with separate processes: a configuration, a job, requests.
set -u
. "$(dirname "$0")/../lib.sh"

start_kv
add_worker w1 plaka r1 --cpu-millis 4000 --memory-mib 8192
add_worker w2 plaka r2 --cpu-millis 4000 --memory-mib 8192
add_backend b1 plaka w1 listening-stream 2
start_plaka 2

cat >"$WORK/config.yaml" <<'EOF'
services:
  - name: listening-stream
    latency_target_ms: 500
members:
  - name: museum
    quota: {cpu_millis: 8000, memory_mib: 16384}
EOF
cli plaka-1 apply -f "$WORK/config.yaml" --author test --wait
cli plaka-2 config show
sed 's/500/400/' "$WORK/config.yaml" >"$WORK/next.yaml"
cli plaka-1 config diff -f "$WORK/next.yaml"
cli plaka-2 apply -f "$WORK/next.yaml" --author test --base 1
cli plaka-2 apply -f "$WORK/config.yaml" --author test --base 1 2>&1
cli plaka-2 --output json config history | jq -r '.[] | "\(.revision) by \(.author)"'

cat >"$WORK/job.json" <<'EOF'
{"member": "museum", "tasks": [
  {"name": "render", "count": 3, "size": {"cpu_millis": 1000, "memory_mib": 512}, "payload": "run-ms=300"}]}
EOF
cli plaka-2 submit -f "$WORK/job.json" --id-token first --wait --for 60 | sed 's/plaka\.[0-9]*\./plaka.N./'
# A repeated submission with the same id yields the same job.
job=$(cli plaka-1 submit -f "$WORK/job.json" --id-token first)
cli plaka-1 job show "$job" | tail -3 | awk '{print $1, $2, $3}'
cli plaka-1 job list | awk 'NR > 1 {print $2, $3, $4}'
for n in 0 1 2; do
  echo "render-$n started $(count_starts "$job/render-$n") time(s), succeeded $(count_successes "$job/render-$n")"
done
cli plaka-1 explain "$job/render-0" | awk 'NR > 1 {print $2}'

for entry in plaka-1 plaka-2; do
  curl -s -m 5 -H 'X-Request-Id: visitor-1' -d 'room 3' "http://127.0.0.1:${PORT[$entry]}/svc/listening-stream/next?x=1"
  echo
done
curl -s -m 5 -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:${PORT[plaka-1]}/svc/nothing/next"
# A truncated answer is never forwarded: a repeatable request is retried, another
# is answered as unknown.
set_fault b1 '{"cut": 1}'
curl -s -m 5 -X POST -H 'X-Request-Id: cut-1' -D - -d x "http://127.0.0.1:${PORT[plaka-1]}/svc/listening-stream/next" | tr -d '\r' | grep -E '^(HTTP|X-Doorwood-Outcome)'
set_fault b1 '{"cut": 1}'
curl -s -m 5 -H 'X-Request-Id: cut-2' "http://127.0.0.1:${PORT[plaka-1]}/svc/listening-stream/next"
echo
# Requests with the same idempotency key run once, also through the other
# instance.
for entry in plaka-1 plaka-2; do
  curl -s -m 5 -o /dev/null -w '%{http_code}\n' -X POST -H 'Idempotency-Key: tour-7' -d build "http://127.0.0.1:${PORT[$entry]}/svc/listening-stream/build"
done
cli plaka-1 report burn | awk 'NR == 1 || $2 == 5 {print $1, $2, $3, $4}'
curl -fs -m 5 "http://127.0.0.1:${PORT[plaka-1]}/metrics" | grep -c '^doorwood_' | awk '{print ($1 > 20) ? "metrics are shown" : "metrics are missing"}'

# A planned shutdown answers the requests in progress and exits with code 0.
curl -s -m 10 "http://127.0.0.1:${PORT[plaka-1]}/svc/listening-stream/slow?ms=2500" -H 'X-Request-Id: slow' >"$WORK/slow.out" &
slow=$!
sleep 0.5
kill -TERM "${PID[plaka-1]}"
wait "$slow"
cat "$WORK/slow.out"
echo
wait "${PID[plaka-1]}"
echo "plaka-1 ended with $?"
echo "double runs: $(list_double_runs | wc -l), overcommitments: $(count_overcommitments)"
