#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Guards against clients and servers that end a process, take all of its memory
# or keep ordinary callers out: parts of HTTP messages without an end, and crowds
# that hold connections. Usage: run.sh CASE, one of cases.txt. Runs alone. Checks
# nothing that depends on the machine's speed.
set -u
here=$(dirname "$0")
. "$here/../lib.sh"
case=${1:?name a case of cases.txt}
side=${case%%-*}
part=${case#*-}

# The machine of an entry instance.
MEMORY_KB=$((260 * 1024))
DESCRIPTORS=4100
# Clients, connections of each, and bytes on each connection.
clients=24
connections=1
bytes=$((32 << 20))
body=$((1 << 20))

# Prints the most memory that the process has used, in KB.
peak_memory() {
  awk '/^VmHWM:/ {print $2}' "/proc/$watched/status" 2>/dev/null
}

descriptors() {
  find "/proc/$watched/fd" -mindepth 1 2>/dev/null | wc -l
}

# A zombie still has a folder in /proc but no memory.
lives() {
  [ -n "$(peak_memory)" ]
}

# ask_ordinarily: sends one ordinary request, and sends it again up to three
# times, as callers do after a connection that was closed.
ask_ordinarily() {
  local attempts
  for ((attempts = 0; attempts < 4; attempts++)); do
    ordinary_request && return
  done
  return 1
}

report_process() {
  local peak fds
  peak=$(peak_memory)
  fds=$(descriptors)
  echo "$case: peak ${peak:-none} KB, $fds descriptors, $(tail -1 "$WORK/crowd.out")" >&2
  if lives; then echo "the process lives"; else echo "the process has ended"; fi
  if [ "${peak:-$((MEMORY_KB + 1))}" -le "$MEMORY_KB" ]; then
    echo "its memory stayed within 260 MB"
  else
    echo "its memory exceeded 260 MB"
  fi
  if lives && [ "$fds" -le "$DESCRIPTORS" ]; then
    echo "its descriptors stayed within $DESCRIPTORS"
  else
    echo "its descriptors are not within $DESCRIPTORS"
  fi
}

# report_request WHEN
report_request() {
  if ask_ordinarily; then
    echo "an ordinary request $1 the crowd was answered"
  else
    echo "an ordinary request $1 the crowd was not answered"
  fi
}

start_crowd() {
  "$BIN/doorwood-crowd" --clients "$clients" --connections "$connections" \
    --bytes "$bytes" --body "$body" "$@" >"$WORK/crowd.out" 2>&1 &
  PID[crowd]=$!
  STARTED+=(crowd)
}

await_crowd() {
  local tries
  for ((tries = 0; tries < 1000; tries++)); do
    grep -q '^settled' "$WORK/crowd.out" && return
    kill -0 "${PID[crowd]}" 2>/dev/null || fail "the crowd has ended: $(cat "$WORK/crowd.out")"
    sleep 0.1
  done
  fail "the crowd has not settled"
}

# Connections of the crowd that end without its bytes being sent are opened
# again, so a held crowd is smaller in bytes and larger in connections.
case $part in
  held-bodies)
    part=held-body
    connections=16
    bytes=$((4 << 20))
    ;;
  idle)
    connections=96
    ;;
  slow-headers)
    part=slow-header
    connections=96
    bytes=$((1 << 20))
    ;;
esac

start_entry_instance() {
  . "$here/../platform-lib.sh"
  # Bounds the damage of a process that grows without end.
  ulimit -v $((640 * 1024))
  start_platform 1 "$here/config.json"
  start_entry a1 plaka
  watched=${PID[a1]}
  until_true is_ready a1
  job='{"spec":"ms=50","steps":[{"count":1,"cpu":500,"memMb":64,"estRuntimeMs":50}]}'
  id=00000000000000a0
  call a1 POST "/jobs/$id" "$job" >/dev/null
  until_true state_is a1 "$id" completed
}

case $side in
  front)
    start_entry_instance
    ordinary_request() {
      local next=$((++ordinary))
      curl -s -m 20 -o /dev/null -w '%{http_code}' -X POST -H 'Host: queue.example' \
        --data-binary "$job" \
        "http://127.0.0.1:${PORT[a1-front]}/jobs/00000000000001$(printf %02x "$next")" | grep -q '^2' &&
        curl -s -m 20 -H 'Host: queue.example' \
          "http://127.0.0.1:${PORT[a1-front]}/jobs/$id" | grep -q completed
    }
    ordinary=0
    start_crowd --address "127.0.0.1:${PORT[a1-front]}" --part "$part" --target "/jobs/$id"
    ;;
  worker)
    start_entry_instance
    ordinary_request() {
      curl -s -m 20 -H 'Host: queue.example' \
        "http://127.0.0.1:${PORT[a1-front]}/jobs/$id" | grep -q completed
    }
    reserve_port hostile
    start_crowd --listen "127.0.1.1:${PORT[hostile]}" --part "$part"
    until_true grep -q '^started' "$WORK/crowd.out"
    puts=()
    for ((n = 1; n <= clients; n++)); do
      value=$(printf '{"service":"pool","born":1,"address":"127.0.1.%d:%d","zone":"plaka","state":"ready","capacity":{"cpu":8000,"memMb":32768,"gpu":0},"labels":["a","r1"]}' \
        "$n" "${PORT[hostile]}" | base64 -w0)
      puts+=("{\"privateKey\":\"servers/hostile-$n\",\"value\":\"$value\"}")
    done
    list=$(IFS=, && echo "${puts[*]}")
    curl -s -o /dev/null "http://127.0.0.1:${PORT[store]}/kv-txn" --data-binary "{\"put\":[$list]}"
    ;;
  doorwoodd)
    ulimit -v $((8 * 1024 * 1024))
    start_kv
    add_worker w1 plaka r1
    add_entry plaka-1 plaka
    start_list
    start_entry plaka-1
    watched=${PID[plaka-1]}
    within 30 workers_held plaka-1 1 || fail "workers not held"
    ordinary_request() {
      curl -fs -m 20 -o /dev/null "http://127.0.0.1:${PORT[plaka-1]}/readyz"
    }
    within 30 ordinary_request || fail "not ready"
    body=$((8 << 20))
    [ "$part" = held-body ] && connections=3 bytes=$((16 << 20))
    start_crowd --address "127.0.0.1:${PORT[plaka-1]}" --part "$part" --target "/svc/x/y"
    ;;
esac

await_crowd
report_process
report_request beside
kill -TERM "${PID[crowd]}"
wait "${PID[crowd]}"
report_request after
