#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain modules without dependencies, so it only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs */case.mjs; do
    node --check "$file"
done
