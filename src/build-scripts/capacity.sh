#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measures the cost of the control plane at several sizes with small stand-ins,
# fits slopes, and writes docs/capacity/tables.md, docs/capacity/points.tsv and the
# graphs that docs/CAPACITY.md uses.
# Usage: capacity.sh BUILD [SECONDS a point]
set -u
cd "$(dirname "$0")/../.." || exit 1
export BIN="$PWD/${1:-build}/src"
window=${2:-8}
out=docs/capacity
mkdir -p "$out"
points=$out/points.tsv
printf 'series\tx\tcpu_percent\trss_mb\tworker_bytes\tpeer_bytes\tdirectory_bytes\tkv_bytes\tkv_reads\tkv_writes\n' >"$points"

# cpu_ticks PID: prints the CPU time so far in hundredths of a second.
cpu_ticks() {
  awk '{print $14 + $15}' "/proc/$1/stat"
}

# metric NAME TARGET: prints the sum of a metric over one kind of call.
metric() {
  awk -v name="$1" -v to="to=\"$2\"" 'index($1, name "{") == 1 && index($0, to) {sum += $NF} END {printf "%.0f", sum}' "$WORK/metrics"
}

kv_calls() {
  curl -fs -m 5 -X POST -d '{}' "http://127.0.0.1:${PORT[kv]}/stats" >"$WORK/stats"
}

snapshot() {
  curl -fs -m 5 "http://127.0.0.1:${PORT[$1]}/metrics" >"$WORK/metrics"
  kv_calls
  echo "$(cpu_ticks "${PID[$1]}") $(metric doorwood_call_bytes worker) $(metric doorwood_call_bytes peer) $(metric doorwood_call_bytes directory) $(metric doorwood_call_bytes kv) $(jq '[.read, .list, .watch] | map(. // 0) | add' "$WORK/stats") $(jq '[.write, .renew, .grant, .remove] | map(. // 0) | add' "$WORK/stats")"
}

# measure_point SERIES X ENTRY: appends one row, measured over the window.
measure_point() {
  local before after rss
  before=$(snapshot "$3")
  sleep "$window"
  after=$(snapshot "$3")
  rss=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/${PID[$3]}/status")
  echo "$1 $2 $rss $before $after" | awk -v w="$window" '{
    printf "%s\t%s\t%.3f\t%.1f", $1, $2, ($11 - $4) / w, $3
    for (i = 5; i <= 10; i++) printf "\t%.2f", ($(i + 7) - $i) / w
    printf "\n"}' >>"$points"
  tail -1 "$points"
}

# Starts a data centre of $2 instances and $1 workers. Each series runs in a
# separate subshell, so that all its processes end with it.
cluster() {
  EXTRA_SETTINGS="${EXTRA:-}
log_level: warn"
  . testsuite/lib.sh
  start_kv
  local n
  for n in $(seq "$1"); do add_worker "w$n" plaka "r$n" --threads 2; done
  for n in $(seq "$2"); do add_entry "plaka-$n" plaka; done
  start_list
  for n in $(seq "$2"); do start_entry "plaka-$n"; done
  within 40 workers_held plaka-1 "$1" || fail "workers not held"
  within 40 shards_owned plaka-1 8 || fail "shards not owned"
  apply_config plaka-1 || fail "configuration"
  sleep 2
}

series_workers() {
  cluster "$1" 1
  measure_point workers "$1" plaka-1
}

series_instances() {
  cluster 4 "$1"
  measure_point instances "$1" plaka-1
}

series_tasks() {
  cluster 16 1
  write_job long 100 run-ms=600000
  sed -i 's/cpu_millis: 1000/cpu_millis: 100/' "$WORK/long.yaml"
  measure_point tasks 0 plaka-1
  local total=0 n
  for n in 1 2 3; do
    submit plaka-1 long >/dev/null || fail "submit"
    total=$((total + 100))
    sleep 3
    measure_point tasks "$total" plaka-1
  done
}

# Jobs of ten short tasks at given rates per second.
series_starts() {
  cluster 16 1
  write_job short 10 run-ms=50
  measure_point starts 0 plaka-1
  local rate
  for rate in 1 2 4; do
    (
      trap - EXIT
      end=$((SECONDS + window + 3))
      while [ "$SECONDS" -lt "$end" ]; do
        cli plaka-1 submit -f "$WORK/short.yaml" >/dev/null 2>&1
        sleep "$(awk -v r="$rate" 'BEGIN {print 1 / r}')"
      done
    ) &
    local feeder=$!
    sleep 2
    local before after
    before=$(jq -s '[.[] | select(.event == "start")] | length' "$WORK/workers.record")
    measure_point starts "$((rate * 10))" plaka-1
    after=$(jq -s '[.[] | select(.event == "start")] | length' "$WORK/workers.record")
    # The x value is the rate of starts measured in the window.
    awk -F'\t' -v OFS='\t' -v x="$(awk -v a="$before" -v b="$after" -v w="$window" 'BEGIN {printf "%.1f", (b - a) / w}')" \
      '{lines[NR] = $0} END {for (i = 1; i < NR; i++) print lines[i]; $0 = lines[NR]; $2 = x; print}' "$points" >"$WORK/points"
    cp "$WORK/points" "$points"
    wait "$feeder"
  done
}

# Configuration changes of given sizes in KB, one every two seconds.
series_config() {
  cluster 4 2
  local kb n
  for kb in 1 16 60; do
    {
      cat "$WORK/config.yaml"
      for n in $(seq $((kb * 20))); do echo "# padding line $n, as a large configuration has"; done
    } | head -c $((kb * 1000)) >"$WORK/large.yaml"
    echo >>"$WORK/large.yaml"
    (
      trap - EXIT
      for n in $(seq $((window / 2))); do
        { cat "$WORK/large.yaml"; echo "# $n"; } | cli plaka-1 apply -f - >/dev/null 2>&1
        sleep 2
      done
    ) &
    local feeder=$!
    measure_point config "$kb" plaka-2
    wait "$feeder"
  done
}

# Small configuration changes at given rates per minute.
series_changes() {
  cluster 4 2
  local rate
  for rate in 0 15 30 60; do
    (
      trap - EXIT
      end=$((SECONDS + window))
      while [ "$rate" -gt 0 ] && [ "$SECONDS" -lt "$end" ]; do
        { cat "$WORK/config.yaml"; echo "# $SECONDS $RANDOM"; } | cli plaka-1 apply -f - >/dev/null 2>&1
        sleep "$(awk -v r="$rate" 'BEGIN {print 60 / r}')"
      done
    ) &
    local feeder=$!
    measure_point changes "$rate" plaka-2
    wait "$feeder"
  done
}

# Members with quotas in the configuration.
series_members() {
  cluster 4 1
  local count n
  for count in 10 100 320; do
    {
      cat "$WORK/config.yaml"
      for n in $(seq "$count"); do echo "  - {name: team-$n, quota: {cpu_millis: 64000, memory_mib: 262144}}"; done
    } | cli plaka-1 apply -f - >/dev/null || fail "apply"
    sleep 1
    measure_point members "$count" plaka-1
  done
}

for n in 8 32 64 128; do (series_workers "$n") || exit 1; done
for n in 1 2 3 5; do (series_instances "$n") || exit 1; done
(series_tasks) || exit 1
(series_starts) || exit 1
(series_config) || exit 1
(series_changes) || exit 1
(series_members) || exit 1

# slope SERIES COLUMN: prints slope, intercept and the largest residual of a
# least-squares fit.
slope() {
  awk -F'\t' -v series="$1" -v col="$2" '
    $1 == series {n++; x[n] = $2; y[n] = $col; sx += $2; sy += $col; sxx += $2 * $2; sxy += $2 * $col}
    END {
      b = (n * sxy - sx * sy) / (n * sxx - sx * sx); a = (sy - b * sx) / n; r = 0
      for (i = 1; i <= n; i++) {d = y[i] - a - b * x[i]; if (d < 0) d = -d; if (d > r) r = d}
      printf "%.4g | %.4g | %.3g", b, a, r
    }' "$points"
}

columns=(cpu_percent rss_mb worker_bytes peer_bytes directory_bytes kv_bytes kv_reads kv_writes)
units=("% of a core" MB "bytes/s" "bytes/s" "bytes/s" "bytes/s" "calls/s" "calls/s")
{
  echo "Measured on $(date -u +%Y-%m-%d) at commit $(git rev-parse --short HEAD 2>/dev/null), $window s a point, by \`make capacity\`."
  echo
  echo "| against | what | unit | slope | at 0 | largest residual |"
  echo "| --- | --- | --- | --- | --- | --- |"
  for series in workers instances tasks starts config changes members; do
    for i in "${!columns[@]}"; do
      echo "| $series | ${columns[$i]} | ${units[$i]} | $(slope "$series" $((i + 3))) |"
    done
  done
  echo
  echo "Points:"
  echo
  awk -F'\t' 'NR == 1 {gsub(/\t/, " | "); print "| " $0 " |"; for (i = 1; i <= 10; i++) printf "| --- "; print "|"; next}
    {gsub(/\t/, " | "); print "| " $0 " |"}' "$points"
} >"$out/tables.md"

gnuplot <<EOF
set terminal svg size 720,400 background "white"
set datafile separator "\t"
set xlabel "workers held by one entry instance"
set key left top
set grid
set output "$out/bytes.svg"
set ylabel "bytes/s"
plot "< grep '^workers' $points" using 2:5 with linespoints title "to workers", \
     "< grep '^workers' $points" using 2:7 with linespoints title "list of instances", \
     "< grep '^workers' $points" using 2:8 with linespoints title "to the key-value service"
set output "$out/cpu.svg"
set ylabel "% of a core"
plot "< grep '^workers' $points" using 2:3 with linespoints title "doorwoodd", 1.9 title "limit"
EOF
cat "$out/tables.md"
