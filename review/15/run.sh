#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run, and writes record.txt beside it.
# TROUBLE=0 leaves the disruption out.
exec node "$(dirname "$0")/case.mjs"
