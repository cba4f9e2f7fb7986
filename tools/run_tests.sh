#!/usr/bin/env bash
# Runs the test cases of a Catch2 program in parallel shards. Cases tagged
# [process], which start processes, run sequentially in one shard. The cases
# that KNOWN-RED.txt lists run afterwards, one by one, and only their results
# are printed. Exits with 0 only if all other cases passed.
# Usage: tools/run_tests.sh PROGRAM [FILTER...]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
shift

# Property tests use a fixed seed unless the caller sets RC_PARAMS.
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"

known_red=()
if [[ -f KNOWN-RED.txt ]]; then
  mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

list_cases() { # FILTER...
  # Catch2 exits with the number of listed cases, so the status is ignored.
  "$program" --list-test-names-only "$@" || true
}

list_cases "$@" >"$work/listed"
grep -vxFf <(printf '%s\n' "${known_red[@]:-}" | grep .) "$work/listed" \
  >"$work/all" || true
list_cases '[process]' >"$work/process"
grep -xFf "$work/process" "$work/all" >"$work/shard.0" || true
grep -vxFf "$work/process" "$work/all" | split -n "r/$(nproc)" -a 2 -d - "$work/shard.1" || true

run_shard() { # FILE
  # Escape commas and brackets, which Catch2 would parse as parts of a filter.
  sed 's/[,[]/\\&/g' "$1" >"$1.names"
  "$program" --input-file "$1.names" >"$1.log" 2>&1
}

declare -A shards
for shard in "$work"/shard.*; do
  [[ -s $shard ]] || continue
  run_shard "$shard" &
  shards[$!]=$shard
done

failed=0
for pid in "${!shards[@]}"; do
  if wait "$pid"; then
    continue
  fi
  failed=1
  cat "${shards[$pid]}.log"
done
cases=$(wc -l <"$work/all")
passed=$(sed -nE 's/^All tests passed .* in ([0-9]+) test cases?\)$/\1/p' \
  "$work"/shard.*.log | awk '{ sum += $1 } END { print sum + 0 }')
if ((failed || cases == 0 || passed != cases)); then
  echo "tests: FAILED, $passed of $cases cases passed"
  exit 1
fi
echo "tests: $cases cases passed"

for name in "${known_red[@]}"; do
  grep -qxF -- "$name" "$work/listed" || continue
  printf '%s\n' "$name" >"$work/known"
  if run_shard "$work/known"; then
    echo "known red, green this time: $name"
  else
    echo "known red: $name"
    sed 's/^/  /' "$work/known.log"
  fi
done
