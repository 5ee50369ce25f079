#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 it plays without the disruption.
exec node "$(dirname "$0")/case.mjs"
