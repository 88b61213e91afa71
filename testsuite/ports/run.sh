#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Guards against tests that fail at random because a program can't listen: on a
# port whose connections are closed but in TIME_WAIT, or one that another test has
# chosen and not yet used. Also against two servers that share a port, each of
# which gets a part of the requests.
set -u
here=$(dirname "$0")
. "$here/../lib.sh"

# count_reserved PORT: prints how often PORT is among 40 reservations from four.
count_reserved() {
  local n times=0
  for ((n = 0; n < 40; n++)); do
    [ "$(PORT_BASE=$1 PORT_COUNT=4 reserve_port other && echo "${PORT[other]}")" = "$1" ] &&
      times=$((times + 1))
  done
  echo "$times of 40"
}

# The client waits for the server to close, so TIME_WAIT is on the server's port.
start_kv
used=${PORT[kv]}
exec 3<>"/dev/tcp/127.0.0.1/$used"
printf 'GET / HTTP/1.1\r\nHost: kv\r\nConnection: close\r\n\r\n' >&3
cat <&3 >/dev/null
exec 3>&-
kill -TERM "${PID[kv]}"
wait "${PID[kv]}"
# TIME_WAIT is state 06.
grep -q ":$(printf '%04X' "$used") [0-9A-F]*:[0-9A-F]* 06 " /proc/net/tcp ||
  fail "no connection in TIME_WAIT"
# As for a test that starts after the one that had the port.
echo "in TIME_WAIT: $(PORT_LOCKS=$WORK/locks count_reserved "$used")"

reserve_port chosen
echo "chosen by another test: $(count_reserved "${PORT[chosen]}")"

# A server may use a port after a server of another kind.
unset "PORT[kv]"
start_standin kv kv
reserve_port instances
add_entry plaka-1 plaka
sed -i "s/^peer_listen: .*/peer_listen: 127.0.0.1:$used/" "$WORK/plaka-1.yaml"
start_list
start_entry plaka-1
answers() {
  curl -s -m 2 -o /dev/null "http://127.0.0.1:${PORT[plaka-1]}/readyz"
}
within 20 answers plaka-1 || fail "plaka-1 does not answer"
echo "listens after another server"

# refuses_port COMMAND...: prints how a second server on a port ends.
refuses_port() {
  timeout 10 "$@" >"$WORK/second.out" 2>&1
  echo "second server: exit $?, $(sed 's/127.*/ADDRESS/' "$WORK/second.out")"
}
refuses_port "$BIN/doorwood-standin" kv --listen "127.0.0.1:${PORT[kv]}"
add_entry plaka-2 plaka
sed -i "s/^listen: .*/listen: 127.0.0.1:${PORT[plaka-1]}/" "$WORK/plaka-2.yaml"
refuses_port "$BIN/doorwoodd" --settings "$WORK/plaka-2.yaml"
