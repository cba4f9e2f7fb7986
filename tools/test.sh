#!/usr/bin/env bash
# Installs missing packages, builds the project, checks format, layers and lint,
# and runs all tests, then again with the address and undefined behaviour
# sanitizers (without the cases that start processes) and, for the
# multi-threaded cases, with the thread sanitizer. Exits with 0 only if
# everything passed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh

step() {
  printf '== %s (%s s)\n' "$1" "$SECONDS"
}

configure_and_build() { # DIR SANITIZERS TARGET...
  local dir=$1 sanitizers=$2
  shift 2
  cmake -S . -B "$dir" -G Ninja -DPAPAYA_SANITIZE="$sanitizers" >/dev/null
  cmake --build "$dir" --target "$@" -- --quiet
}

step build
configure_and_build build "" all
step 'tests and style'
# Cases that start processes mostly wait, so the style checks run at the same
# time.
tests_log=$(mktemp)
trap 'rm -f "$tests_log"' EXIT
tools/run_tests.sh build/papaya_tests >"$tests_log" 2>&1 &
tests_pid=$!
style_ok=1
tools/check_style.sh build || style_ok=0
tests_ok=1
wait "$tests_pid" || tests_ok=0
cat "$tests_log"
((style_ok && tests_ok))
step 'address and undefined behaviour sanitizers'
configure_and_build build-asan address,undefined papaya_tests
# The build without sanitizers has run all random schedules. Ten per property
# are enough to find memory errors here.
RC_PARAMS='seed=20261204 max_success=10' \
  tools/run_tests.sh build-asan/papaya_tests '~[process]'
step 'thread sanitizer'
configure_and_build build-tsan thread papaya_thread_tests
tools/run_tests.sh build-tsan/papaya_thread_tests '[threads]'
step 'all passed'
