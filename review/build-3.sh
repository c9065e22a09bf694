#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript, so that nothing but their syntax has to be checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do node --check "$file"; done
