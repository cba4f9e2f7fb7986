#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  echo "building case $number"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review/case$number" "$case"
done
