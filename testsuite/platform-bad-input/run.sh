#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Malformed input is rejected with a message, and none of it is stored.
set -u
here=$(dirname "$0")
. "$here/../lib.sh"
. "$here/../platform-lib.sh"

start_platform 1 "$here/../platform-job/config.json"
start_entry a1 plaka
until_true is_ready a1

id=00000000000000b1
call a1 POST "/jobs/$id" '{"steps":'
call a1 POST "/jobs/$id" '[]'
call a1 POST "/jobs/$id" '{"steps":[]}'
call a1 POST "/jobs/$id" '{"steps":[{"count":0}]}'
call a1 POST "/jobs/$id" '{"steps":[{"count":"four"}]}' | sed 's/field: .*"} /field: ..."} /'
call a1 POST "/jobs/$id" '{"steps":[{"count":1,"dependsOn":[1]}]}'
call a1 POST "/jobs/$id" '{"steps":[{"count":1,"longRunning":true}],"maxRuns":2,"intervalMs":100}'
call a1 POST /jobs/short '{"steps":[{"count":1}]}'
call a1 POST /jobs/ '{"steps":[{"count":1}]}'
call a1 PUT "/jobs/$id" '{}'
large=$(head -c 5000 /dev/zero | tr '\0' 'x')
call a1 POST "/jobs/$id" "{\"spec\":\"$large\"}" | tail -c 5
call a1 GET "/jobs/$id"
call a1 GET /nowhere/
printf 'nonsense\r\n\r\n' | timeout 5 bash -c "exec 3<>/dev/tcp/127.0.0.1/${PORT[a1-front]}; cat >&3; head -1 <&3" | tr -d '\r'
is_ready a1 && echo "still ready"

# Invalid entries of other writers in the store stop no process and are not used
# as workers.
put() {
  local value
  value=$(printf '%s' "$2" | base64 -w0)
  curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:${PORT[store]}/kv-txn" \
    --data-binary "{\"put\":[{\"privateKey\":\"$1\",\"value\":\"$value\"}]}"
}
refused() {
  curl -s "http://127.0.0.1:${PORT[a1-metrics]}/metrics" | grep "^doorwood_entries_refused $1"
}
put servers/no-state '{"service":"pool","address":"127.0.0.1:9","zone":"plaka"}'
put servers/no-json 'x'
put servers/no-object '[]'
put doorwood/live/instance/odd '[]'
put doorwood/live/lead/odd '{"nonce":"x"}'
put op/evacuate/ '[]'
until_true refused 3
refused 3
call a1 POST /jobs/00000000000000b2 '{"spec":"ms=50","steps":[{"count":3,"cpu":500,"memMb":64,"estRuntimeMs":50}]}'
until_true state_is a1 00000000000000b2 completed
call a1 GET /jobs/00000000000000b2
is_ready a1 && echo "still ready"
echo "rejected entries logged: $(grep -c 'rejected a directory entry' "$WORK/a1.log")"

# Odd values of other writers in every list and key that the process follows: it
# goes on following them, also after a restart.
repeat() { head -c "$1" /dev/zero | tr '\0' "$2"; }
entry='"service":"pool","zone":"plaka","state":"ready","capacity":{"cpu":4000,"memMb":4096}'
at='"address":"127.0.0.1:9"'
odd_values=(
  "$(repeat 50000 '[')"
  "$(repeat 40000 '[')$(repeat 40000 ']')"
  "{$entry,$at,\"labels\":$(repeat 20000 '[')$(repeat 20000 ']')}"
  "{$entry,$at,\"remainingMs\":1e400}"
  "{$entry,$at,\"slots\":18446744073709551616}"
  "{$entry,$at,\"born\":$(repeat 300 9)}"
  "{$entry,\"address\":\"127.0.0.1:65536\"}"
  "{$entry,\"address\":\"127.0.0.1:99999999999\"}"
)
for prefix in servers/ doorwood/live/instance/ doorwood/live/lead/ doorwood/live/seen/ op/wave/ op/evacuate/; do
  for n in "${!odd_values[@]}"; do
    put "${prefix}odd-$n" "${odd_values[n]}"
  done
done | sort | uniq -c | tr -s ' '
until_true refused 11
put op/config "${odd_values[1]}"
until_true grep -q 'configuration cannot be decoded' "$WORK/a1.log"
put op/config "$(sed 's/"version":1/"version":2/; s/\({"name":"jobs".*}\)\],"services"/\1,{"name":"more","host":"queue.example","pathPrefix":"\/more\/","service":"pool"}],"services"/' \
  "$here/../platform-job/config.json")"
serves_more() { [ "$(call a1 GET /more/)" = '{"pending":0} 200' ]; }
until_true serves_more
runs_job() {
  call a1 POST "/jobs/$1" '{"spec":"ms=50","steps":[{"count":3,"cpu":500,"memMb":64,"estRuntimeMs":50}]}'
  until_true state_is a1 "$1" completed
  refused 11
}
runs_job 00000000000000b3
kill -0 "${PID[a1]}" && echo "still the same process"
kill -KILL "${PID[a1]}"
run_entry a1
until_true leads a1
until_true serves_more
until_true refused 11
runs_job 00000000000000b4
kill -0 "${PID[a1]}" && echo "still the same process"

sed 's/^instance:.*/instence: a1/' "$WORK/a1.yaml" >"$WORK/bad.yaml"
"$BIN/doorwood-celld" --settings "$WORK/bad.yaml" 2>&1 | sed "s#$WORK/##"
{ cat "$WORK/a1.yaml"; echo "set_aside_share: 0.7"; } >"$WORK/range.yaml"
"$BIN/doorwood-celld" --settings "$WORK/range.yaml" 2>&1 | sed "s#$WORK/##; s#:[0-9]*:#:LINE:#"
"$BIN/doorwood-celld" --settings "$WORK/a1.yaml" --check-settings | sed "s#$WORK/##"
