# SPDX-License-Identifier: Apache-2.0
# shellcheck shell=bash
# run_case NAME FOLDER WORKERS TROUBLE [MAX_HOLD_MS]: three entry instances, the stand-ins of NAME and its
# requesters. Writes FOLDER/record.txt; returns the scenario's exit code, and 2
# if the case could not run. Run from anywhere, after the build of the deploy
# file and review/build-3.sh.

# Ends what run_case started.
end_case() {
  [ "${#pids[@]}" -eq 0 ] && return
  touch "$work/stop"
  for signal in TERM KILL; do
    kill "-$signal" "${pids[@]}" $(cat "$work"/entry-*.pid 2>/dev/null) 2>/dev/null
    sleep 0.2
  done
  wait "${pids[@]}" 2>/dev/null
  pids=()
  rm -rf "$work"
}

# run_entry ROOT FILES: runs an entry instance, and starts it again 0.3 s after it
# was killed, as the platform does.
run_entry() {
  local process
  cd "$1" || return
  while [ ! -e "$work/stop" ]; do
    DOORWOOD_SETTINGS="$2.yaml" target/src/doorwood-celld >>"$2.log" 2>&1 &
    process=$!
    echo "$process" >"$2.pid"
    { wait "$process"; } 2>/dev/null
    rm -f "$2.pid"
    [ -e "$work/stop" ] || sleep 0.3
  done
}

run_case() {
  local name=$1 folder root scenario port i code=2
  pids=()
  trap end_case EXIT
  trap 'exit 2' INT TERM
  folder=$(cd "$2" && pwd)
  root=$(cd "$folder/../.." && pwd)
  scenario=$root/target/review-3/review-scenario
  work=$(mktemp -d)
  if [ ! -x "$scenario" ] || [ ! -x "$root/target/src/doorwood-celld" ]; then
    echo "not built: see review/build-3.sh"
    rm -rf "$work"
    return 2
  fi
  mapfile -t port < <("$scenario" ports $((14 + $3)))
  if [ "${#port[@]}" -ne $((14 + $3)) ]; then
    echo "no free ports"
    rm -rf "$work"
    return 2
  fi
  "$scenario" --case "$name" --trouble "$4" --record "$folder/record.txt" \
    --store "${port[0]}" --cloud "${port[1]}" \
    --workers "$(IFS=,; echo "${port[*]:14}")" \
    --fronts "${port[2]},${port[6]},${port[10]}" \
    --readies "${port[3]},${port[7]},${port[11]}" \
    --metrics "${port[5]},${port[9]},${port[13]}" --pids "$work" >"$work/scenario.out" &
  local runner=$!
  pids+=("$runner")
  for ((i = 0; i < 100; i++)); do
    grep -qs '^listening' "$work/scenario.out" && break
    sleep 0.1
  done
  for i in 0 1 2; do
    # The fields of deploy/settings.yaml, with the bounds of sax-doorwood.
    cat >"$work/entry-$i.yaml" <<YAML
instance: "entry-$i"
data_centre: "plaka"
front: "127.0.0.1:${port[2 + 4 * i]}"
ready: "127.0.0.1:${port[3 + 4 * i]}"
peer: "127.0.0.1:${port[4 + 4 * i]}"
metrics: "127.0.0.1:${port[5 + 4 * i]}"
store: "127.0.0.1:${port[0]}"
adviser: ""
machines: "127.0.0.1:${port[1]}"
cpu_share: 0.25
link_mbps: 1000.0
grace_ms: 6000
longest_run_lease_ms: ${5:-10000}
keep_finished_ms: 120000
backup_share: 0.1
machine_holder_lease_ms: 3000
max_held_submissions: 200
set_aside_share: 0.1
YAML
    run_entry "$root" "$work/entry-$i" &
    pids+=($!)
  done
  wait "$runner"
  code=$?
  grep -v '^listening' "$work/scenario.out"
  if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"
  fi
  end_case
  return "$code"
}
