#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into target/review-4/.
set -euo pipefail
cd "$(dirname "$0")/../.."
mkdir -p target/review-4
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-4/cases \
  review/standin-4/net.cpp review/standin-4/world.cpp review/standin-4/cases.cpp -lpthread
