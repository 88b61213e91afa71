#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays case 9. TROUBLE=0: without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-3/run-case.sh"
run_case cancel "$here" 4 "${TROUBLE:-1}"
