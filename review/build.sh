#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the deploy file. The stand-ins in lib/ are plain JavaScript without dependencies, so
# that there is nothing to compile; this checks that Node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/case.mjs; do node --check "$file"; done
