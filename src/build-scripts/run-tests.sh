#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs every test: unit tests, then the integration tests of whole programs under
# testsuite/, whose output must equal their ref/out.txt. Tests listed in
# KNOWN-RED.txt may fail; they are printed. Ends with "N passed, N failed".
set -u
cd "$(dirname "$0")/../.."
build=${1:-build}
passed=0
failed=0
red=0
log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT

known_red() {
  [ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

# record NAME CODE FILE: counts one result; shows the output of a failure.
record() {
  local name=$1 code=$2 file=$3
  if [ "$code" -eq 0 ]; then
    passed=$((passed + 1))
    echo "ok      $name"
  elif known_red "$name"; then
    red=$((red + 1))
    echo "red     $name: $(grep "^$name:" KNOWN-RED.txt)"
  else
    failed=$((failed + 1))
    echo "FAILED  $name"
    tail -60 "$file"
  fi
}

for test in "$build"/src/*_test; do
  name=$(basename "$test")
  timeout 600 "$test" --log_level=error --color_output=no >"$log/$name" 2>&1
  record "$name" $? "$log/$name"
done

# Integration tests are independent: each has its own ports and files. Up to
# three run at a time.
run_integration_test() {
  local name=$1
  PORT_BASE=$2 PORT_COUNT=1000 BIN="$PWD/$build/src" timeout 300 bash "testsuite/$name/run.sh" \
    >"$log/$name.out" 2>"$log/$name.err"
  echo $? >"$log/$name.code"
}
integration_tests=()
for folder in testsuite/*/; do
  # A folder with cases runs alone, see below.
  [ -f "$folder/cases.txt" ] || integration_tests+=("$(basename "$folder")")
done
# The ranges of up to 14 tests lie below 32768, where the ephemeral ports begin.
port_base=18000
for name in "${integration_tests[@]}"; do
  run_integration_test "$name" "$port_base" &
  port_base=$((port_base + 1000))
  while [ "$(jobs -rp | wc -l)" -ge 3 ]; do
    sleep 0.2
  done
done
wait
for name in "${integration_tests[@]}"; do
  code=$(cat "$log/$name.code")
  if [ "$code" -eq 0 ] && ! diff -u "testsuite/$name/ref/out.txt" "$log/$name.out" >>"$log/$name.err"; then
    code=1
  fi
  cat "$log/$name.out" >>"$log/$name.err"
  record "testsuite/$name" "$code" "$log/$name.err"
done

# Each case of these is a test of its own, after all others and without any beside
# it, because it loads the machine: testsuite/FOLDER/run.sh CASE.
for cases in testsuite/*/cases.txt; do
  folder=$(dirname "$cases")
  while read -r case; do
    name=$folder/$case
    file=$log/$(basename "$folder")-$case
    BIN="$PWD/$build/src" timeout 300 bash "$folder/run.sh" "$case" >"$file.out" 2>"$file.err" </dev/null
    code=$?
    if [ "$code" -eq 0 ] && ! diff -u "$folder/ref/out.txt" "$file.out" >>"$file.err"; then
      code=1
    fi
    cat "$file.out" >>"$file.err"
    record "$name" "$code" "$file.err"
  done <"$cases"
done
[ "$red" -gt 0 ] && echo "$red known red, listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
