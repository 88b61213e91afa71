#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Demonstration on stand-ins: two entry instances, three workers, two backend
# servers. Requests go through both entry instances, and one of them is killed
# while a batch job runs.
set -u
BIN="$(cd "${1:-build}/src" && pwd)"
# shellcheck source=testsuite/lib.sh
. "$(dirname "$0")/../../testsuite/lib.sh"

say() { printf '\n== %s\n' "$*"; }

say "starting the stand-ins: key-value service, instance list, 3 workers, 2 backend servers"
start_kv
for n in 1 2 3; do add_worker "w$n" plaka "r$n" --cpu-millis 4000 --memory-mib 8192; done
add_backend b1 plaka w1 listening-stream 8
add_backend b2 plaka w2 listening-stream 8
say "starting two entry instances: plaka-1 and plaka-2"
start_plaka 3
cli plaka-1 worker list

say "an operator applies a configuration"
cat >"$WORK/config.yaml" <<'EOF'
services:
  - name: listening-stream
    latency_target_ms: 50
    objective: 0.99
members:
  - name: attica-museum
    quota: {cpu_millis: 12000, memory_mib: 24576}
rules:
  - match: kind=render
    yields: 80
EOF
cli plaka-1 apply -f "$WORK/config.yaml" --author demo --wait || fail "apply"

say "a member submits a batch job of 6 renders"
cat >"$WORK/job.yaml" <<'EOF'
member: attica-museum
tasks:
  - name: render
    count: 6
    size: {cpu_millis: 1000, memory_mib: 1024}
    labels: {kind: render}
    payload: run-ms=3000
EOF
job=$(cli plaka-1 submit -f "$WORK/job.yaml") || fail "submit"
echo "accepted: $job"

say "20 requests to the service, through both entry instances"
whole=0
for n in $(seq 20); do
  entry=plaka-$((1 + n % 2))
  answer=$(curl -s -m 5 -H "X-Request-Id: visitor-$n" -d "clip $n" "http://127.0.0.1:${PORT[$entry]}/svc/listening-stream/next")
  [[ "$answer" == *"ran visitor-$n: clip $n" ]] && whole=$((whole + 1))
done
echo "whole answers to their own request: $whole of 20"

say "killing plaka-2 with SIGKILL half-way"
sleep 1
kill -KILL "${PID[plaka-2]}"
cli plaka-1 job wait "$job" --for 60 || fail "the job did not finish"
cli plaka-1 job show "$job"

say "what the workers themselves recorded"
jq -r 'select(.event == "start") | "\(.worker) started \(.task) as attempt \(.attempt)"' "$WORK/workers.record"
once=0
for n in $(seq 0 5); do
  [ "$(count_successes "$job/render-$n")" = 1 ] && once=$((once + 1))
done
echo "tasks that finished exactly once: $once of 6; in two places at once: $(list_double_runs | wc -l); overcommitments: $(count_overcommitments)"

say "service-level burn"
cli plaka-1 report burn
[ "$whole" = 20 ] && [ "$once" = 6 ] && [ -z "$(list_double_runs)" ] || fail "see above"
say "done"
