#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs the same days with the same seeds in two checkouts, several at a time, and
# prints the scores of each pair, the mean of the paired differences and its
# standard error, so that a difference within the noise is recognizable.
#
#   BENCH=PROGRAM compare-days.sh BEFORE AFTER SITE "DAY..." "SEED..." [OPTION...]
#
# BENCH: the users' bench; BEFORE, AFTER: checkouts; SITE: a site file; OPTION:
# passed on, for instance --no-cpu. JOBS (4): days run at a time.
set -euo pipefail

bench=${BENCH:?set BENCH to the bench program}
before=$1
after=$2
site=$3
days=$4
seeds=$5
shift 5
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# run_day DIR NAME DAY SEED [OPTION...]: runs one day and stores its result line.
run_day() {
  local dir=$1 name=$2 day=$3 seed=$4
  shift 4
  cd "$dir"
  "$bench" run "$site" "$day" --seed "$seed" --why "compare-days: $name" "$@" \
    >"$out/$name-$day-$seed.full" 2>&1 || true
  grep "^$day " "$out/$name-$day-$seed.full" | head -1 \
    >"$out/$name-$day-$seed" || true
}
export -f run_day
export bench site out

for dir in "$before" "$after"; do
  (cd "$dir" && "$bench" build >/dev/null)
done
for day in $days; do
  for seed in $seeds; do
    # No trailing blank: xargs would join such a line with the next one.
    echo "$before before $day $seed${*:+ $*}"
    echo "$after after $day $seed${*:+ $*}"
  done
done | xargs -P "${JOBS:-4}" -L1 bash -c 'run_day "$@"' run_day

printf '%-12s %8s %8s %8s  %s\n' day seed before after broken
for day in $days; do
  for seed in $seeds; do
    one=$(awk '{print $4}' "$out/before-$day-$seed")
    two=$(awk '{print $4}' "$out/after-$day-$seed")
    broken=$(grep -ho 'BROKEN.*' "$out/after-$day-$seed" || true)
    printf '%-12s %8s %8s %8s  %s\n' "$day" "$seed" "$one" "$two" "$broken"
  done
done | tee "$out/rows"
awk '{ d = $4 - $3; n++; a += $3; b += $4; s += d; q += d * d }
     END { m = s / n; v = n > 1 ? (q - n * m * m) / (n - 1) : 0
           printf "mean %.3f to %.3f, difference %+.3f, standard error %.3f, pairs %d\n",
                  a / n, b / n, m, sqrt(v > 0 ? v / n : 0), n }' "$out/rows"
