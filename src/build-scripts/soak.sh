#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Injects random faults into real processes. Usage: soak.sh BUILD SEEDS [FIRST]
# Runs SEEDS seeds from FIRST on, three at a time; prints a line and the
# violations of each. Logs of a seed without violations are removed; the location
# of the others is printed. CELLD names another program to run, SECONDS_EACH the
# duration of the faults of each seed.
set -u
cd "$(dirname "$0")/../.."
bin="$PWD/${1:-build}/src"
seeds=${2:-10}
first=${3:-1}
celld=${CELLD:-$bin/doorwood-celld}
folder=$(mktemp -d)
max_parallel=3

run_seed() {
  local seed=$1
  "$bin/doorwood-soak" --celld "$celld" --logs "$folder/$seed" --seed "$seed" \
    --seconds "${SECONDS_EACH:-40}" --block "$((seed % 250 + 1))" >"$folder/$seed.out" 2>&1
  local code=$?
  cat "$folder/$seed.out"
  [ "$code" -eq 0 ] && rm -rf "${folder:?}/$seed"
  echo "$code" >"$folder/$seed.code"
}

for ((seed = first; seed < first + seeds; seed++)); do
  run_seed "$seed" &
  while [ "$(jobs -rp | wc -l)" -ge "$max_parallel" ]; do
    sleep 0.2
  done
done
wait
good=$(cat "$folder"/*.code | grep -c '^0$')
echo "$good of $seeds seeds had no violations"
[ "$good" -eq "$seeds" ] || exit 1
rm -rf "$folder"
