#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the deploy file. The stand-ins in lib-2/ are plain JavaScript without
# dependencies, so there is nothing to compile; this checks that Node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/case.mjs; do node --check "$file"; done
