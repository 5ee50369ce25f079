#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
node case.mjs &
trap 'kill -TERM $! 2>/dev/null' EXIT INT TERM
wait $!
