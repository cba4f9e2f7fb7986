#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread review/standins-2/cases.cpp -o target/review-2/cases -lboost_json
