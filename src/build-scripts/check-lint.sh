#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs clang-tidy over all C++ sources with the settings in .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
find src platform -name '*.cpp' ! -name '*.capnp.cpp' | sort |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
