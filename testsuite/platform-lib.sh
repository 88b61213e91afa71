# SPDX-License-Identifier: Apache-2.0
# shellcheck shell=bash
# Functions for tests of entry instances on the platform's stand-in. Sourced
# after lib.sh, which stops the processes that are started here.

# start_platform WORKERS CONFIG: starts the store and WORKERS workers.
start_platform() {
  local args=() n
  reserve_port store
  for ((n = 1; n <= $1; n++)); do
    reserve_port "worker-$n"
    args+=(--worker "127.0.0.1:${PORT[worker-$n]}")
  done
  "$BIN/doorwood-platform-standin" --store "127.0.0.1:${PORT[store]}" "${args[@]}" \
    --config "$2" >"$WORK/standin.out" 2>&1 &
  PID[standin]=$!
  STARTED+=(standin)
  until_true grep -q '^listening' "$WORK/standin.out"
}

# until_true COMMAND...: repeats the command until it succeeds, for up to 20 s.
until_true() {
  local tries
  for ((tries = 0; tries < 200; tries++)); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.1
  done
  fail "never true: $*"
}

# prints_within SECONDS VALUE COMMAND...: repeats the command until it prints
# VALUE; fails if it has not done so SECONDS after the call.
prints_within() {
  local bound=$1 value=$2 output deadline_us
  shift 2
  deadline_us=$((${EPOCHREALTIME/[.,]/} + bound * 1000000))
  while :; do
    output=$("$@")
    [ "${EPOCHREALTIME/[.,]/}" -le "$deadline_us" ] ||
      fail "no output '$value' within $bound s, last '$output': $*"
    [ "$output" = "$value" ] && return
    sleep 0.1
  done
}

# start_entry NAME DATA_CENTRE
start_entry() {
  local name=$1 part
  for part in front ready peer metrics; do
    reserve_port "$name-$part"
  done
  cat >"$WORK/$name.yaml" <<YAML
instance: $name
data_centre: $2
front: 127.0.0.1:${PORT[$name-front]}
ready: 127.0.0.1:${PORT[$name-ready]}
peer: 127.0.0.1:${PORT[$name-peer]}
metrics: 127.0.0.1:${PORT[$name-metrics]}
store: 127.0.0.1:${PORT[store]}
YAML
  run_entry "$name"
}

# run_entry NAME: starts or restarts the process of an entry instance.
run_entry() {
  "$BIN/doorwood-celld" --settings "$WORK/$1.yaml" >>"$WORK/$1.log" 2>&1 &
  PID[$1]=$!
  STARTED+=("$1")
}

is_ready() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:${PORT[$1-ready]}/ready")" = 200 ]
}

# call NAME METHOD PATH [BODY]: prints status and body of a request.
call() {
  curl -s -X "$2" -H 'Host: queue.example' ${4:+--data-binary "$4"} \
    -w ' %{http_code}\n' "http://127.0.0.1:${PORT[$1-front]}$3"
}

state_is() {
  call "$1" GET "/jobs/$2" | grep -q "\"$3\""
}

leads() {
  curl -s "http://127.0.0.1:${PORT[$1-metrics]}/metrics" | grep -q '^doorwood_leading 1'
}
