#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Two data centres; one is partitioned from the platform, then from the platform
# and the other data centre.
set -u
. "$(dirname "$0")/../lib.sh"
DC_OF[kerameikos-1]=kerameikos
DC_OF[kerameikos-2]=kerameikos

# start_link NAME TARGET: starts a relay to TARGET that can be cut.
start_link() {
  reserve_port "$1"
  start_standin "$1.way" link --control "127.0.0.1:${PORT[$1]}" --target "127.0.0.1:$2"
  PID[$1]=${PID[$1.way]}
}

start_kv
add_worker w1 plaka r1 --cpu-millis 8000 --memory-mib 16384
add_entry plaka-1 plaka
add_backend b1 plaka w1 listening-stream 4
# Kerameikos reaches the platform and Plaka through relays that can be cut, and
# Plaka reaches Kerameikos through others.
start_link way-kv "${PORT[kv]}"
start_link way-list "${PORT[instances]}"
add_worker w2 kerameikos r2 --cpu-millis 8000 --memory-mib 16384
add_backend b2 kerameikos w2 listening-stream 4
add_entry kerameikos-1 kerameikos
add_entry kerameikos-2 kerameikos
for entry in kerameikos-1 kerameikos-2; do
  sed -i "s/^kv: .*/kv: 127.0.0.1:${PORT[way-kv.way]}/; s/^directory: .*/directory: 127.0.0.1:${PORT[way-list.way]}/" "$WORK/$entry.yaml"
done
# Every address of another data centre in the list is that of a relay, so that
# cutting the relays cuts both directions.
for entry in plaka-1 kerameikos-1 kerameikos-2; do
  start_link "way-$entry" "${PORT[$entry.peer]}"
done
start_list
# Within Kerameikos the peers use their direct addresses from a separate list.
sed "s/:${PORT[plaka-1.peer]}\"/:${PORT[way-plaka-1.way]}\"/" "$WORK/instances.json" >"$WORK/kerameikos.json"
sed -i "s/:${PORT[kerameikos-1.peer]}\"/:${PORT[way-kerameikos-1.way]}\"/; s/:${PORT[kerameikos-2.peer]}\"/:${PORT[way-kerameikos-2.way]}\"/" "$WORK/instances.json"
kill -TERM "${PID[instances]}"
wait "${PID[instances]}"
start_standin instances instances --file "$WORK/instances.json"
start_standin list-2 instances --file "$WORK/kerameikos.json"
kill -TERM "${PID[way-list]}"
wait "${PID[way-list]}"
start_link way-list "${PORT[list-2]}"
for entry in kerameikos-1 kerameikos-2; do
  sed -i "s/^directory: .*/directory: 127.0.0.1:${PORT[way-list.way]}/" "$WORK/$entry.yaml"
done

start_entry plaka-1
start_entry kerameikos-1
start_entry kerameikos-2
within 30 workers_held plaka-1 1 || fail "plaka: workers not held"
within 30 workers_held kerameikos-1 1 || fail "kerameikos: workers not held"
within 30 shards_owned plaka-1 8 || fail "plaka: shards not owned"
within 30 shards_owned kerameikos-1 8 || fail "kerameikos: shards not owned"
apply_config plaka-1 && echo "configuration in force in both data centres"

write_job away 2 run-ms=500 ""
sed -i 's/^member: museum/member: museum\nhome: kerameikos/' "$WORK/away.yaml"
away=$(submit plaka-1 away) || fail "submit to the other data centre"
cli plaka-1 job wait "$away" --for 60 >/dev/null && echo "job of kerameikos, submitted and asked about through plaka, succeeded"

revision_of() {
  [ "$(cli "$1" --output json status 2>/dev/null | jq --arg i "$1" '.[] | select(.instance == $i) | .revision')" = "$2" ]
}
write_job local 2 run-ms=9000
local_job=$(submit kerameikos-1 local) || fail "submit"

echo "== cut off from the platform"
set_fault way-kv '{"cut": true}'
set_fault way-list '{"cut": true}'
sed 's/200/250/' "$WORK/config.yaml" >"$WORK/second.yaml"
cli plaka-1 apply -f "$WORK/second.yaml" --author test >/dev/null || fail "apply"
applied=$(now)
within 8 revision_of kerameikos-1 2 && echo "revision 2 reached kerameikos between peers"
record_figure "configuration in force in a data centre cut off from the platform after $(seconds_since "$applied") s"

echo "== cut off from the platform and from plaka"
for entry in plaka-1 kerameikos-1 kerameikos-2; do set_fault "way-$entry" '{"cut": true}'; done
sleep 1
sed 's/200/260/' "$WORK/config.yaml" >"$WORK/third.yaml"
cli plaka-1 apply -f "$WORK/third.yaml" --author test >/dev/null || fail "apply"
start_load alone "127.0.0.1:${PORT[kerameikos-1]},127.0.0.1:${PORT[kerameikos-2]}" --prefix /svc/listening-stream --connections 2 --requests 400 --seconds 10 --pause-ms 5
sleep 6
revision_of kerameikos-1 2 && echo "kerameikos stays at revision 2"
cli kerameikos-1 submit -f "$WORK/local.yaml" >/dev/null 2>&1
echo "submit in kerameikos: exit $?"
cli plaka-1 submit -f "$WORK/away.yaml" >/dev/null 2>&1
echo "submit to kerameikos through plaka: exit $?"
wait "${PID[alone]}"
echo "requests in kerameikos: wrong $(outcome alone wrong), not answered $(($(outcome alone not_run) + $(outcome alone unknown) + $(outcome alone broken)))"
sleep 4

echo "== mended"
for way in way-kv way-list way-plaka-1 way-kerameikos-1 way-kerameikos-2; do set_fault "$way" '{"cut": false}'; done
mended=$(now)
within 8 revision_of kerameikos-1 3 && within 8 revision_of kerameikos-2 3 && echo "revision 3 is in force in kerameikos"
record_figure "after a cut: newest configuration in force after $(seconds_since "$mended") s"
cli kerameikos-2 job wait "$local_job" --for 60 >/dev/null && echo "job of kerameikos succeeded"
echo "tasks started twice: $(count_started_twice "$local_job"); in two places at once: $(list_double_runs | wc -l); overcommitments: $(count_overcommitments)"
