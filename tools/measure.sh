#!/usr/bin/env bash
# Builds and runs the bench program: all measures, or those whose name starts
# with a NAME or is a prefix of one. Prints one line per measurement. Exits with
# 0 also if measurements miss their targets.
# Usage: tools/measure.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target papaya_bench -- --quiet
exec build/papaya_bench "$@"
