#!/usr/bin/env bash
# Prepares the cases review/6 to review/10 after the build of the deploy file. Their stand-ins (review/harness-2) are plain
# modules of Node.js without dependencies, and no stand-in of the project is started, so there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
for program in gateway runner; do
    test -f "target/$program.cjs" || { echo "target/$program.cjs is missing: run the build of deploy/system.toml" >&2; exit 1; }
done
for module in review/harness-2/*.mjs review/{6..10}/case.mjs; do
    test -f "$module" || continue
    node --check "$module"
done
