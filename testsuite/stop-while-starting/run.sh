#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A signal that arrives during start-up is handled once the process is ready; it
# does not kill the process.
set -u
here=$(dirname "$0")
. "$here/../lib.sh"
. "$here/../platform-lib.sh"

start_platform 1 "$here/../platform-job/config.json"
start_entry a1 plaka
until_true is_ready a1

# Settings that are read from a named pipe delay the start-up as long as needed.
for part in front ready peer metrics; do
  reserve_port "a2-$part"
  sed -i "s#^$part:.*#$part: 127.0.0.1:${PORT[a2-$part]}#" "$WORK/a1.yaml"
done
sed "s/^instance:.*/instance: a2/" "$WORK/a1.yaml" >"$WORK/a2-whole.yaml"

feed() {
  trap - EXIT
  while :; do
    cat "$WORK/a2-whole.yaml" >"$WORK/a2.yaml"
    sleep 0.05
  done
}

is_started() {
  grep -q doorwood-celld "/proc/${PID[a2]}/comm"
}

# stop_early SIGNAL...: prints the exit code of a process that receives the
# signals before its settings.
stop_early() {
  local signal
  rm -f "$WORK/a2.yaml"
  mkfifo "$WORK/a2.yaml"
  run_entry a2
  until_true is_started
  sleep 0.3
  for signal in "$@"; do
    kill "-$signal" "${PID[a2]}"
  done
  feed 2>/dev/null &
  PID[feeder]=$!
  STARTED+=(feeder)
  wait "${PID[a2]}"
  echo "$*: ended with $?"
  kill "${PID[feeder]}"
  wait "${PID[feeder]}" 2>/dev/null
}

stop_early TERM
stop_early HUP TERM
exit 0
