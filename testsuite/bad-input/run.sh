#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks that invalid input of every kind is rejected with a helpful message.
set -u
. "$(dirname "$0")/../lib.sh"

start_kv
add_worker w1 plaka r1
add_entry plaka-1 plaka
start_list
start_entry plaka-1
within 30 workers_held plaka-1 1 || fail "workers not held"
within 30 shards_owned plaka-1 8 || fail "shards not owned"
cd "$WORK" || exit 1

try() {
  "$@" 2>&1 | sed 's/127\.0\.0\.1:[0-9]*/ADDRESS/g'
  echo "exit ${PIPESTATUS[0]}"
}

echo "== configuration"
cat >bad.yaml <<'EOF'
services:
  - name: stream
    latency_target_ms: 0
    objective: often
    colour: blue
  - name: stream
members:
  - name: museum
rules:
  - match: kind=a,kind=b
    yields: 101
    on: "="
EOF
try cli plaka-1 apply -f bad.yaml
printf 'services: [\n' >broken.yaml
try cli plaka-1 apply -f broken.yaml
try cli plaka-1 apply -f nowhere.yaml
try cli plaka-1 config show

echo "== manifest"
cat >job.yaml <<'EOF'
member: museum
failover: sometimes
tasks:
  - name: render
    class: urgent
    size: {cpu_millis: -1, disk: 3}
    count: 501
  - size: 12
EOF
try cli plaka-1 submit -f job.yaml
printf 'member: nobody\ntasks: [{name: a, size: {cpu_millis: 1}}]\n' >member.yaml
try cli plaka-1 submit -f member.yaml

echo "== token"
try env DOORWOOD_TOKEN=wrong "$BIN/doorwood" --address "127.0.0.1:${PORT[plaka-1]}" status
curl -s -m 5 -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:${PORT[plaka-1]}/v1/status"
curl -s -m 5 -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:${PORT[plaka-1]}/v1/job?id=plaka.1.x"

echo "== unknown things"
try cli plaka-1 worker drain w9
try cli plaka-1 job show plaka.1.none
try cli plaka-1 job show nonsense
try cli plaka-1 explain nonsense

echo "== oversize and malformed bodies"
head -c 9000000 /dev/zero >big
curl -s -m 10 -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $OPERATOR_TOKEN" --data-binary @big "http://127.0.0.1:${PORT[plaka-1]}/v1/jobs"
curl -s -m 5 -w ' %{http_code}\n' -H "Authorization: Bearer $OPERATOR_TOKEN" -d 'not json' "http://127.0.0.1:${PORT[plaka-1]}/v1/jobs"
curl -s -m 5 -w ' %{http_code}\n' -H "Authorization: Bearer $OPERATOR_TOKEN" -d '{"text": 7}' "http://127.0.0.1:${PORT[plaka-1]}/v1/config"

echo "== settings and command line"
printf 'instance: a b\nlisten: localhost:80\nkv_calls: 0\nextra: 1\n' >settings.yaml
try "$BIN/doorwoodd" --check-settings --settings settings.yaml
try "$BIN/doorwoodd" --check-settings --settings plaka-1.yaml
try "$BIN/doorwood" --address nonsense status
try "$BIN/doorwood" --address 127.0.0.1:1 status
"$BIN/doorwood" frobnicate >/dev/null 2>&1
echo "exit $?"

echo "== odd values of other writers in the list of instances and in the store"
post() { curl -s -m 5 -d "$2" "http://127.0.0.1:${PORT[${1%%/*}]}/$1"; }
worker='"role":"worker","data_centre":"plaka"'
nested=$(printf '[%.0s' {1..60})$(printf ']%.0s' {1..60})
odds=0
for odd in '"slots":"x","address":"127.0.0.1:1"' '"slots":1e300,"address":"127.0.0.1:1"' \
  '"slots":18446744073709551615,"address":"127.0.0.1:1"' '"address":"127.0.0.1:65536"' \
  '"address":"127.0.0.1:99999999999"' '"address":7' "\"address\":\"127.0.0.1:1\",\"labels\":$nested"; do
  post instances/change "{\"id\":\"odd-$((++odds))\",$worker,$odd}" >/dev/null
done
# overwrite KEY VALUE
overwrite() {
  local version
  version=$(post kv/read "{\"key\":\"$1\"}" | sed -n 's/.*"version":\([0-9]*\).*/\1/p')
  post kv/write "{\"key\":\"$1\",\"value\":\"${2//\"/\\\"}\",\"expected_version\":${version:-0},\"lease\":0}" >/dev/null
}
overwrite config/current '{"revision":"x"}'
overwrite config/drained '[1]'
add_worker w2 plaka r2
post instances/change "${INSTANCE_LINES[-1]}" >/dev/null
within 30 workers_held plaka-1 2 || fail "the list is not followed"
echo "worker listed later: held"
grep -o 'rejected a directory entry' plaka-1.log | sort | uniq -c | tr -s ' '
kill -0 "${PID[plaka-1]}" && echo "still the same process"
kill -KILL "${PID[plaka-1]}"
start_entry plaka-1
within 60 workers_held plaka-1 2 || fail "workers not held after a restart"
within 60 shards_owned plaka-1 8 || fail "shards not owned after a restart"
kill -0 "${PID[plaka-1]}" && echo "started again"
