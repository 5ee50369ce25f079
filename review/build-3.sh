#!/usr/bin/env bash
# Prepares the scripts of review/11 to review/15. Their stand-ins are plain modules in review/lib-3, so it only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/vanillathreadd.cjs ] || bash deploy/build.sh
for module in review/lib-3/*.mjs review/1[1-5]/*.mjs; do [ ! -f "$module" ] || node --check "$module"; done
