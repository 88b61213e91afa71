#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs the Debian packages that the build and the tests need. Does nothing
# if all of them are installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build make pkg-config clang-format clang-tidy curl jq gnuplot-nox
  libasio-dev libcapnp-dev libcpp-httplib-dev libcli11-dev liblog4cplus-dev
  libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev prometheus-cpp-dev
  libboost-dev libboost-test-dev libsodium-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
echo "installing: ${missing[*]}"
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
