#!/usr/bin/env bash
# Builds the daemon as one file below target/, with its code compiled ahead.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --no-audit --no-fund --silent
npx tsc -b platform
npx esbuild platform/dist/main.js --bundle --platform=node --format=cjs --target=node20 --minify-syntax --minify-whitespace \
  --outfile=target/bundle.cjs --log-level=warning
cp deploy/start.cjs target/vanillathreadd.cjs
rm -f target/bundle.cache
# Compiled code is taken only by a process with the same options.
node --max-old-space-size=160 --max-semi-space-size=4 deploy/compile.cjs > target/compile.log
