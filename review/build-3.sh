#!/bin/sh
# Prepares what the scripts of the cases 11 to 15 start. Their stand-ins are plain scripts without dependencies, so that they are
# only checked here; the project's programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/harness-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
test -f target/launch.cjs || node scripts/bundle.mjs
