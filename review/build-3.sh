#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins that the scripts of review/9 and up start, into
# target/review-3 and target/review-4. Needs the packages of deploy/system.toml
# only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -o target/review-3/review-scenario \
  review/standin-3/scenario.cpp review/standin-3/world.cpp -pthread
bash review/standin-4/build.sh
