#!/usr/bin/env bash
# Runs all measures, or those whose name starts with one of the NAMEs given,
# and prints a line a figure. Exits 0 whether figures are ok or short.
# Usage: tools/measure.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target papaya_bench -- --quiet
exec build/papaya_bench "$@"
