#!/usr/bin/env bash
# run-case.sh NAME FOLDER: runs a case and writes FOLDER/record.txt. Exits with
# 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-4/cases target/src/doorwood-celld; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
timeout --kill-after=2 118 target/review-4/cases "$1" "$2/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
