#!/bin/bash
# Builds the stand-in of the cases 4 to 8 into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -fcoroutines -O1 -pthread -DBOOST_ASIO_HAS_STD_INVOKE_RESULT \
  -o target/review-2/review-standin \
  review/standin-2/main.cpp review/standin-2/cases.cpp
