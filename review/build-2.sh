#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are plain modules that Node.js runs as they are, so that there is nothing to build but a check of each.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do node --check "$file"; done
