# SPDX-License-Identifier: Apache-2.0
# shellcheck shell=bash
# Functions for tests with separate processes: the stand-ins and the entry
# instances. Sourced by the demo, the benchmarks and testsuite/*/run.sh.
# All processes run on 127.0.0.1 and end with the script that started them.

BIN="${BIN:?set BIN to the folder with the programs}"
WORK="$(mktemp -d)"
declare -gA PID PORT
PORT_LOCKS=${TMPDIR:-/tmp}/doorwood-ports-$UID
INSTANCE_LINES=()
STARTED=()
OPERATOR_TOKEN=operator-token-of-this-session
PEER_TOKEN=peer-token-of-this-session
export DOORWOOD_TOKEN=$OPERATOR_TOKEN
# Appended to the settings of every entry instance.
EXTRA_SETTINGS="${EXTRA_SETTINGS:-}"

cleanup() {
  local name
  for name in "${STARTED[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -TERM "${PID[$name]}" 2>/dev/null
  done
  local tries=0
  while [ "$tries" -lt 30 ] && any_running; do
    sleep 0.1
    tries=$((tries + 1))
  done
  for name in "${STARTED[@]}"; do
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  if [ -n "${KEEP:-}" ]; then
    echo "files kept in $WORK" >&2
  else
    rm -rf "$WORK"
  fi
}
trap cleanup EXIT

any_running() {
  local name
  for name in "${STARTED[@]}"; do
    kill -0 "${PID[$name]}" 2>/dev/null && return 0
  done
  return 1
}

# Ends the test, with the last lines that its processes wrote.
fail() {
  local file
  echo "FAILED: $*" >&2
  for file in "$WORK"/*.log "$WORK"/*.out; do
    [ -s "$file" ] && tail -n 3 "$file" | cut -c 1-300 | sed "s|^|$(basename "$file"): |" >&2
  done
  exit 1
}

# port_in_use PORT: succeeds if a socket has this local port, be it a connection
# that is closed and in TIME_WAIT: a server can't always bind such a port.
port_in_use() {
  grep -qs "^ *[0-9]*: [0-9A-F]*:$(printf '%04X' "$1") " /proc/net/tcp /proc/net/tcp6
}

# reserve_port NAME: sets PORT[NAME] to a port below the ephemeral range that no
# socket uses. The shell and the processes that it starts from here on keep it
# locked against other tests, which may run concurrently in any checkout.
reserve_port() {
  local port lock
  mkdir -p "$PORT_LOCKS"
  while :; do
    port=$((${PORT_BASE:-20000} + RANDOM % ${PORT_COUNT:-12000}))
    exec {lock}>"$PORT_LOCKS/$port"
    flock -n "$lock" && ! port_in_use "$port" && break
    exec {lock}>&-
  done
  PORT[$1]=$port
}

# start_standin NAME ROLE [ARG ...]: starts a stand-in on a free port and waits
# until it listens.
start_standin() {
  local name=$1 role=$2 tries
  shift 2
  if [ -z "${PORT[$name]:-}" ]; then
    reserve_port "$name"
  fi
  "$BIN/doorwood-standin" "$role" --listen "127.0.0.1:${PORT[$name]}" "$@" \
    >"$WORK/$name.out" 2>&1 &
  PID[$name]=$!
  STARTED+=("$name")
  for ((tries = 0; tries < 200; tries++)); do
    grep -q '^listening' "$WORK/$name.out" && return
    sleep 0.02
  done
  fail "stand-in $name does not listen: $(cat "$WORK/$name.out")"
}

# add_worker NAME DATA_CENTRE RACK [ARG ...]
add_worker() {
  local name=$1 dc=$2 rack=$3
  shift 3
  start_standin "$name" worker --name "$name" --record "$WORK/workers.record" "$@"
  INSTANCE_LINES+=("{\"id\":\"$name\",\"role\":\"worker\",\"data_centre\":\"$dc\",\"rack\":\"$rack\",\"address\":\"127.0.0.1:${PORT[$name]}\",\"labels\":{\"rack\":\"$rack\",\"worker\":\"$name\"}}")
}

# add_backend NAME DATA_CENTRE WORKER SERVICE SLOTS [ARG ...]
add_backend() {
  local name=$1 dc=$2 worker=$3 service=$4 slots=$5
  shift 5
  start_standin "$name" backend --name "$name" --slots "$slots" --record "$WORK/backends.record" "$@"
  INSTANCE_LINES+=("{\"id\":\"$name\",\"role\":\"backend\",\"data_centre\":\"$dc\",\"worker\":\"$worker\",\"service\":\"$service\",\"slots\":$slots,\"connections\":60,\"address\":\"127.0.0.1:${PORT[$name]}\"}")
}

# add_entry NAME DATA_CENTRE: reserves ports and writes the settings.
add_entry() {
  local name=$1 dc=$2
  reserve_port "$name"
  reserve_port "$name.peer"
  INSTANCE_LINES+=("{\"id\":\"$name\",\"role\":\"entry\",\"data_centre\":\"$dc\",\"address\":\"127.0.0.1:${PORT[$name]}\",\"peer_address\":\"127.0.0.1:${PORT[$name.peer]}\"}")
  cat >"$WORK/$name.yaml" <<EOF
instance: $name
data_centre: $dc
listen: 127.0.0.1:${PORT[$name]}
peer_listen: 127.0.0.1:${PORT[$name.peer]}
kv: 127.0.0.1:${PORT[kv]}
directory: 127.0.0.1:${PORT[instances]}
operator_token: $OPERATOR_TOKEN
peer_token: $PEER_TOKEN
$EXTRA_SETTINGS
EOF
}

# start_kv: starts the key-value store and reserves the port of the instance list.
start_kv() {
  start_standin kv kv --record "$WORK/kv.record"
  reserve_port instances
}

# start_list: starts the instance list with everything added so far.
start_list() {
  local IFS=,
  echo "[${INSTANCE_LINES[*]}]" >"$WORK/instances.json"
  start_standin instances instances --file "$WORK/instances.json"
}

start_entry() {
  local name=$1
  "$BIN/doorwoodd" --settings "$WORK/$name.yaml" >>"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
  STARTED+=("$name")
}

# start_plaka WORKERS: starts the instance list and the entry instances plaka-1
# and plaka-2, and waits until they hold all workers and own all shards.
start_plaka() {
  add_entry plaka-1 plaka
  add_entry plaka-2 plaka
  start_list
  start_entry plaka-1
  start_entry plaka-2
  within 30 workers_held plaka-1 "$1" || fail "workers not held"
  within 30 shards_owned plaka-1 8 || fail "shards not owned"
}

# within SECONDS COMMAND...: repeats the command until it succeeds; fails after
# SECONDS.
within() {
  local end=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.1
  done
}

cli() {
  local name=$1
  shift
  "$BIN/doorwood" --address "127.0.0.1:${PORT[$name]}" "$@"
}

is_ready() {
  curl -fs -m 2 "http://127.0.0.1:${PORT[$1]}/readyz"
}

# workers_held NAME COUNT: succeeds if the instances of the data centre of NAME
# hold COUNT workers, as NAME reports.
workers_held() {
  local held
  held=$(cli "$1" --output json worker list 2>/dev/null |
    jq '[.[] | select(.state == "held")] | length')
  [ "$held" = "$2" ]
}

# shards_owned NAME COUNT: succeeds if the instances of the data centre of NAME
# own COUNT job shards, as NAME reports.
shards_owned() {
  local owned
  owned=$(cli "$1" --output json status 2>/dev/null |
    jq --arg dc "${DC_OF[$1]:-plaka}" \
      '[.[] | select(.data_centre == $dc) | .shards[]] | length')
  [ "$owned" = "$2" ]
}
declare -gA DC_OF

# set_fault NAME JSON: sets the faults of a stand-in.
set_fault() {
  curl -fs -m 5 -X POST -d "$2" "http://127.0.0.1:${PORT[$1]}/fault" >/dev/null
}

change_instance() {
  curl -fs -m 5 -X POST -d "$1" "http://127.0.0.1:${PORT[instances]}/instances/change" >/dev/null
}

# --- Entry instances under faults -----------------------------------------------

# start_soak NAME INDEX ARG...: starts a soak in the background. --block sets the
# third octet of all its addresses. Each PORT_BASE / 1000 has six octets of its
# own from 1 to 240 (modulo 40; run-tests.sh uses 19 to 31), and INDEX, 0 to 5,
# selects one of them. Each soak of testsuite/ has another INDEX, so the addresses
# differ even if two tests run with the same PORT_BASE.
start_soak() {
  local name=$1 block=$((${PORT_BASE:-20000} / 1000 % 40 * 6 + 1 + $2))
  shift 2
  "$BIN/doorwood-soak" --celld "$BIN/doorwood-celld" --logs "$WORK/$name" --block "$block" "$@" \
    >"$WORK/$name.out" 2>&1 &
  PID[$name]=$!
  STARTED+=("$name")
}

# print_soak_result NAME: waits until a soak has ended and prints its exit code
# and number of violations; prints up to five of the violations to stderr.
print_soak_result() {
  wait "${PID[$1]}"
  echo "$1: exit $?, $(sed -n 's/.* starts, \([0-9]* violations\);.*/\1/p' "$WORK/$1.out")"
  grep ' ms: ' "$WORK/$1.out" | head -5 >&2
}

# --- Checks of what happened, from the stand-ins' records ---------------------

# Prints the tasks that ran twice at the same time. An attempt without an end
# in the record ended with the process of its worker and is not considered.
list_double_runs() {
  jq -s -r '
    [.[] | select(.event == "start" or .event == "end")]
    | group_by(.task)[]
    | . as $all
    | [$all[] | select(.event == "start")] as $starts
    | [$starts[] | . as $s
        | ([$all[] | select(.event == "end" and .attempt == $s.attempt
              and .worker == $s.worker) | .t] | first) as $stop
        | select($stop != null)
        | {task: .task, from: .t, to: $stop, attempt: .attempt}]
    | . as $runs
    | [range(0; length) as $i | range($i + 1; length) as $j
        | select($runs[$i].from < $runs[$j].to and $runs[$j].from < $runs[$i].to)
        | "\($runs[$i].task): attempts \($runs[$i].attempt) and \($runs[$j].attempt)"]
    | .[]' "$WORK/workers.record" || echo "the record cannot be read"
}

# Prints how many starts exceeded the capacity of their worker.
count_overcommitments() {
  jq -s '[.[] | select(.event == "start" and .overcommitted)] | length' "$WORK/workers.record"
}

# count_successes TASK: prints how often a task succeeded.
count_successes() {
  jq -s --arg task "$1" '[.[] | select(.event == "end" and .task == $task and .how == "succeeded")] | length' "$WORK/workers.record"
}

# count_starts TASK: prints how often a task was started.
count_starts() {
  jq -s --arg task "$1" '[.[] | select(.event == "start" and .task == $task)] | length' "$WORK/workers.record"
}

# --- Requests -------------------------------------------------------------------

# start_load NAME TARGETS ARG...: generates load in the background; the results
# are written to $WORK/NAME.json, the requests to $WORK/NAME.requests.
start_load() {
  local name=$1 targets=$2
  shift 2
  "$BIN/doorwood-bench" load --targets "$targets" --record "$WORK/$name.requests" "$@" \
    >"$WORK/$name.json" 2>"$WORK/$name.err" &
  PID[$name]=$!
  STARTED+=("$name")
}

# count_false_not_run LOAD: prints how many requests of a load were answered
# "not run" although they ran.
count_false_not_run() {
  jq -r 'select(.outcome == "not_run") | .request' "$WORK/$1.requests" | sort >"$WORK/not_run"
  jq -r 'select(.event == "run") | .request' "$WORK/backends.record" | sort >"$WORK/ran"
  comm -12 "$WORK/not_run" "$WORK/ran" | wc -l
}

# count_duplicates LOAD: prints how many requests of a load ran more than once.
count_duplicates() {
  jq -r .request "$WORK/$1.requests" | sort -u >"$WORK/sent"
  jq -r 'select(.event == "run") | .request' "$WORK/backends.record" | sort | uniq -d >"$WORK/twice"
  comm -12 "$WORK/sent" "$WORK/twice" | wc -l
}

# Prints the highest number of concurrent requests on one backend server.
max_concurrent_requests() {
  jq -s 'group_by(.backend) | map(reduce .[] as $e ({now: 0, most: 0};
      if $e.event == "run" then .now += 1 | .most = ([.most, .now] | max)
      elif $e.event == "ran" then .now -= 1 else . end) | .most) | max // 0' "$WORK/backends.record"
}

# outcome LOAD FIELD: prints a field of the results of a load.
outcome() {
  jq ".$2" "$WORK/$1.json"
}

# record_figure NAME VALUE ...: appends a line for docs/PROOFS.md if FIGURES names a
# file.
record_figure() {
  [ -n "${FIGURES:-}" ] && echo "$*" >>"$FIGURES"
  return 0
}

# Prints seconds since the Unix epoch with a fraction, for recovery times.
now() {
  date +%s.%N
}

seconds_since() {
  awk -v a="$1" -v b="$(now)" 'BEGIN {printf "%.1f", b - a}'
}

# apply_config NAME: applies a configuration of services and members.
apply_config() {
  cat >"$WORK/config.yaml" <<'EOF'
services:
  - name: listening-stream
    latency_target_ms: 200
members:
  - name: museum
    quota: {cpu_millis: 100000, memory_mib: 200000}
EOF
  cli "$1" apply -f "$WORK/config.yaml" --author test --wait --for 30 >/dev/null
}

# write_job NAME COUNT PAYLOAD [MORE]: writes a manifest.
write_job() {
  cat >"$WORK/$1.yaml" <<EOF
member: museum
tasks:
  - name: task
    count: $2
    size: {cpu_millis: 1000, memory_mib: 1024}
    payload: "$3"
${4:-}
EOF
}

# submit ENTRY NAME: submits $WORK/NAME.yaml and repeats with the same id while
# the answer is "not done" or "unknown".
submit() {
  local token="$2-$RANDOM" end=$((SECONDS + 40)) id
  while [ "$SECONDS" -lt "$end" ]; do
    id=$(cli "$1" submit -f "$WORK/$2.yaml" --id-token "$token" 2>/dev/null) && {
      echo "$id"
      return
    }
    sleep 0.2
  done
  return 1
}

# count_started_twice JOB: prints how many tasks of a job were started more than
# once.
count_started_twice() {
  jq -r --arg job "$1/" 'select(.event == "start" and (.task | startswith($job))) | .task' \
    "$WORK/workers.record" | sort | uniq -d | wc -l
}
