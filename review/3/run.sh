#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the trouble out. KEEP_LOGS=1 keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/case-3 "$PWD" "$PWD/review/3"
