#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measures one entry instance against a plain forwarding hop and a direct call
# in one run, and measures placement decisions. Rewrites docs/BENCHMARKS.md.
set -u
cd "$(dirname "$0")/../.." || exit 1
BIN="$PWD/${1:-build}/src"
EXTRA_SETTINGS="connections: 160
log_level: warn"
. testsuite/lib.sh

page=docs/BENCHMARKS.md
start_kv
add_worker w1 plaka r1
add_backend b1 plaka w1 listening-stream 100 --latency-ms 0 --threads 160
add_entry plaka-1 plaka
start_list
start_entry plaka-1
within 30 workers_held plaka-1 1 || fail "workers not held"
within 30 shards_owned plaka-1 8 || fail "shards not owned"
apply_config plaka-1 || fail "configuration"
reserve_port hop
"$BIN/doorwood-bench" hop --listen "127.0.0.1:${PORT[hop]}" --target "127.0.0.1:${PORT[b1]}" >/dev/null 2>&1 &
PID[hop]=$!
STARTED+=(hop)
sleep 0.5

measure() {
  local target=$1 prefix=$2 connections=$3
  "$BIN/doorwood-bench" load --targets "127.0.0.1:${PORT[$target]}" --prefix "$prefix" \
    --connections "$connections" --requests 1000000 --seconds 3
}

# Three alternating rounds of each; the round with the median p50 is reported.
rows=()
for connections in 1 32 60; do
  for round in 1 2 3; do
    for way in direct hop doorwood; do
      case $way in
        direct) json=$(measure b1 "" "$connections") ;;
        hop) json=$(measure hop "" "$connections") ;;
        doorwood) json=$(measure plaka-1 /svc/listening-stream "$connections") ;;
      esac
      echo "{\"connections\": $connections, \"way\": \"$way\", \"round\": $round, \"figures\": $json}" >>"$WORK/rounds"
    done
  done
done
resident=$(awk '/VmRSS/ {print $2}' "/proc/${PID[plaka-1]}/status")
decisions=$("$BIN/doorwood-bench" decisions)

{
  echo "# Benchmarks"
  echo
  echo "Written by \`make bench\` (src/build-scripts/bench.sh) from one run. All three"
  echo "ways lead to the same stand-in backend server, which answers at once: *direct*"
  echo "calls it, *hop* is a bare forwarding hop of the same HTTP library"
  echo "(src/bench/hop.cpp), *doorwood* is one entry instance. Each figure is the median"
  echo "of three rounds of 3 s, taken in turn. \`added\` is over direct; \`ratio\` is what"
  echo "doorwood adds over what the hop adds (aim: at most 1.5). Where a closed loop"
  echo "saturates the machine the hop can have a lower p99 than the direct call; then"
  echo "there is no such ratio, and the last column compares the two p99 themselves."
  echo
  echo "Run on $(date -u +%Y-%m-%d), $(nproc) processors, commit $(git rev-parse --short HEAD 2>/dev/null)."
  echo
  echo "| connections | way | requests/s | p50 us | p99 us | added p50 | added p99 | ratio p50 | ratio p99 | p99 over hop's p99 |"
  echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
  jq -s -r '
    def median(f): map(f) | sort | .[1];
    group_by(.connections)[]
    | .[0].connections as $c
    | (group_by(.way) | map({key: .[0].way, value: {
        rps: median(.figures.per_second), p50: median(.figures.p50_us), p99: median(.figures.p99_us)}}) | from_entries) as $w
    | ("direct", "hop", "doorwood") as $way
    | $w[$way] as $f
    | ($f.p50 - $w.direct.p50) as $a50 | ($f.p99 - $w.direct.p99) as $a99
    | [$c, $way, ($f.rps | floor), ($f.p50 | floor), ($f.p99 | floor),
       (if $way == "direct" then "-" else ($a50 | floor) end),
       (if $way == "direct" then "-" else ($a99 | floor) end),
       (if $way == "doorwood" then ($a50 / ($w.hop.p50 - $w.direct.p50) * 100 | round / 100) else "-" end),
       (if $way == "doorwood" and $w.hop.p99 > $w.direct.p99 then ($a99 / ($w.hop.p99 - $w.direct.p99) * 100 | round / 100) else "-" end),
       (if $way == "doorwood" then ($f.p99 / $w.hop.p99 * 100 | round / 100) else "-" end)]
    | "| " + (map(tostring) | join(" | ")) + " |"' "$WORK/rounds"
  echo
  echo "Resident memory of \`doorwoodd\` after the run: $((resident / 1024)) MB (aim: under 32 MB)."
  echo
  echo "## Placement decisions"
  echo
  echo "\`doorwood-bench decisions\`: the default policy on one core, 14 running tasks a"
  echo "worker, an eighth of the decisions for services, a third with an \`on\` selector"
  echo "(aim: 20,000 a second at 1,500 workers)."
  echo
  echo "| workers | running tasks | decisions/s |"
  echo "| --- | --- | --- |"
  echo "$decisions" | jq -r '"| \(.workers) | \(.running_tasks) | \(.decisions_per_second) |"'
} >"$page"
cat "$page"
