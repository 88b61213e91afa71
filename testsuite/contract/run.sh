#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs the contract tests of the ports against the real adapters and stand-ins.
set -u
. "$(dirname "$0")/../lib.sh"

start_standin kv kv
start_standin w1 worker --name w1 --cpu-millis 4000 --memory-mib 8000
within 10 curl -s -m 1 -o /dev/null "http://127.0.0.1:${PORT[kv]}/" || fail "no key-value service"
within 10 curl -s -m 1 -o /dev/null "http://127.0.0.1:${PORT[w1]}/" || fail "no worker"
"$BIN/contract_test" --color_output=no -- "127.0.0.1:${PORT[kv]}" "127.0.0.1:${PORT[w1]}" 2>&1
