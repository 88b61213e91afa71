#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the cases and their stand-ins into target/review, after the build of
# the deploy file, whose libraries they use. Needs no network and no package
# beyond those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -Wno-maybe-uninitialized -DASIO_STANDALONE -DASIO_NO_DEPRECATED
  -I. -Isrc -Isrc/include)
sources=(review/stage/stage.cpp src/standin/record_store_model.cpp
  src/standin/run_worker_model.cpp platform/standin/standin_codec.cpp)
objects=()
jobs=()
for source in "${sources[@]}"; do
  object=target/review/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for n in 1 2 3; do
  if [ -f "review/$n/case.cpp" ]; then
    g++ "${flags[@]}" -c "review/$n/case.cpp" -o "target/review/case-$n.o" &
    jobs+=($!)
  fi
done
for job in "${jobs[@]}"; do
  wait "$job"
done
read -ra libraries < <(pkg-config --libs log4cplus yaml-cpp libsodium)
for n in 1 2 3; do
  if [ -f "review/$n/case.cpp" ]; then
    g++ "target/review/case-$n.o" "${objects[@]}" \
      target/src/libdoorwood_platform.a target/src/libdoorwood_cells.a \
      "${libraries[@]}" -lpthread \
      -o "target/review/case-$n"
  fi
done
