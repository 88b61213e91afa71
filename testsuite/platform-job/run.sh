#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Jobs through platform/ with separate processes: one that completes, one that
# fails, one that is cancelled, and one that continues after its leader is
# killed.
set -u
here=$(dirname "$0")
. "$here/../lib.sh"
. "$here/../platform-lib.sh"

start_platform 2 "$here/config.json"
for name in a1 b1 c1; do
  start_entry "$name" "centre-$name"
done
for name in a1 b1 c1; do
  until_true is_ready "$name"
done

two_steps='{"spec":"ms=200","steps":[{"count":2,"cpu":500,"memMb":64,"estRuntimeMs":200},{"count":1,"cpu":500,"memMb":64,"estRuntimeMs":200,"dependsOn":[0]}]}'
call a1 POST /jobs/00000000000000a1 "$two_steps"
call b1 POST /jobs/00000000000000a1 "$two_steps"
until_true state_is c1 00000000000000a1 completed
call b1 GET /jobs/00000000000000a1
echo "tasks started: $(grep -c 'starts 00000000000000a1' "$WORK/standin.out")"

call b1 POST /jobs/00000000000000a2 '{"spec":"ms=50 fails=9","steps":[{"count":1,"cpu":500,"memMb":64,"estRuntimeMs":50}]}'
until_true state_is a1 00000000000000a2 failed
echo "runs of the failing task: $(grep -c 'starts 00000000000000a2' "$WORK/standin.out")"

call c1 POST /jobs/00000000000000a3 '{"spec":"","steps":[{"count":2,"cpu":500,"memMb":64,"estRuntimeMs":50,"longRunning":true}]}'
until_true state_is a1 00000000000000a3 running
# An instance that does not lead answers with its latest summary of the leader.
# The platform allows a count of pending jobs to be 2 s old.
prints_within 2 '{"pending":0} 200' call a1 GET /jobs/
call a1 GET /jobs/
call b1 DELETE /jobs/00000000000000a3
call c1 GET /jobs/00000000000000a3
call a1 GET /jobs/00000000000000ff
call a1 GET /other/

call a1 POST /jobs/00000000000000a4 '{"spec":"ms=6000","steps":[{"count":2,"cpu":500,"memMb":64,"estRuntimeMs":6000}]}'
until_true state_is a1 00000000000000a4 running
for name in a1 b1 c1; do
  if leads "$name"; then
    kill -KILL "${PID[$name]}"
    leader=$name
  fi
done
others=(a1 b1 c1)
others=("${others[@]/$leader/}")
for name in ${others[*]}; do
  until_true state_is "$name" 00000000000000a4 completed
done
echo "tasks started in all: $(grep -c 'starts 00000000000000a4' "$WORK/standin.out")"

for name in ${others[*]}; do
  kill -TERM "${PID[$name]}"
  wait "${PID[$name]}"
  echo "planned stop: exit $?"
done
