#!/usr/bin/env bash
# Runs the case in the folder that is named, after the build of the deploy file
# and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
export GATEWAY=target/papaya_gateway RECORD="$folder/record.txt"
if [[ ! -x $GATEWAY || ! -x target/review/case$number ]]; then
  echo "not built: run the build of the deploy file and review/build.sh" >&2
  exit 2
fi
CASE_DIR=$(mktemp -d) || exit 2
export CASE_DIR
trap 'rm -rf "$CASE_DIR"' EXIT
timeout 115 "target/review/case$number"
code=$?
((code <= 1)) || code=2
exit "$code"
