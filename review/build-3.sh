#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I. review/standins-3/cases.cpp \
  -o target/review-3/cases -lboost_json -lpthread
