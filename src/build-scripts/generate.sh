#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Regenerates the committed Cap'n Proto code. Needed only after a change to
# peer.capnp; an ordinary build needs no generator.
set -euo pipefail
command -v capnp >/dev/null || {
  echo "install the Debian package capnproto first" >&2
  exit 2
}
cd "$(dirname "$0")/../peer.adapter"
capnp compile -oc++ peer.capnp
mv peer.capnp.c++ peer.capnp.cpp
