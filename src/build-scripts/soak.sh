#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays random faults on real processes: soak.sh BUILD SEEDS [FIRST]. So many
# seeds from FIRST on, three at a time; prints a line for each, and what broke.
# Logs of a seed that broke nothing are removed; the others' place is printed.
# CELLD names another program to play, SECONDS_EACH how long each takes.
set -u
cd "$(dirname "$0")/../.."
bin="$PWD/${1:-build}/src"
seeds=${2:-10}
first=${3:-1}
celld=${CELLD:-$bin/doorwood-celld}
folder=$(mktemp -d)
at_once=3

play() {
  local seed=$1
  "$bin/doorwood-soak" --celld "$celld" --logs "$folder/$seed" --seed "$seed" \
    --seconds "${SECONDS_EACH:-40}" --block "$((seed % 250 + 1))" >"$folder/$seed.out" 2>&1
  local code=$?
  cat "$folder/$seed.out"
  [ "$code" -eq 0 ] && rm -rf "${folder:?}/$seed"
  echo "$code" >"$folder/$seed.code"
}

for ((seed = first; seed < first + seeds; seed++)); do
  play "$seed" &
  while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do
    sleep 0.2
  done
done
wait
good=$(cat "$folder"/*.code | grep -c '^0$')
echo "$good of $seeds seeds broke nothing"
[ "$good" -eq "$seeds" ] || exit 1
rm -rf "$folder"
