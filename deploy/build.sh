#!/usr/bin/env bash
# Bundles the daemon into one file below target/ and stores the code that V8 compiled from it (code cache).
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --no-audit --no-fund --silent
npx tsc -b platform
npx esbuild platform/dist/main.js --bundle --platform=node --format=cjs --target=node20 --minify-syntax --minify-whitespace \
  --outfile=target/bundle.cjs --log-level=warning
cp deploy/start.cjs target/vanillathreadd.cjs
rm -f target/bundle.cache
# V8 accepts a code cache only in a process with the same options.
node --max-old-space-size=160 --max-semi-space-size=4 deploy/compile.cjs > target/compile.log
