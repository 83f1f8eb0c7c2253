#!/usr/bin/env bash
# The stand-ins are plain modules that use nothing but Node.js; building them means checking that each one parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
