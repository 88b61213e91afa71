#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks the formatting of all C++ files; with "fix" rewrites them.
set -euo pipefail
cd "$(dirname "$0")/../.."
mapfile -t files < <(find src platform -name '*.cpp' -o -name '*.h' | grep -v '\.capnp\.' | sort)
if [ "${1:-}" = fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run -Werror "${files[@]}"
fi
