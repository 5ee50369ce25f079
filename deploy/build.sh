#!/usr/bin/env bash
# Builds the daemon as one file below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --no-audit --no-fund --silent
npx tsc -b platform
npx esbuild platform/dist/main.js --bundle --platform=node --format=esm --target=node20 --outfile=target/vanillathreadd.mjs --log-level=warning \
  --banner:js="import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);"
