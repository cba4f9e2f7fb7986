#!/usr/bin/env bash
# Fails if a module includes a header of a module above it.
set -euo pipefail
cd "$(dirname "$0")/.."

modules=(base chart telemetry settings config membership routing admission
  once rollout wire gateway standin daemon ctl)

status=0
for ((i = 0; i < ${#modules[@]}; i++)); do
  above=$(IFS='|'; echo "${modules[*]:i+1}")
  [[ -n $above ]] || continue
  dirs=()
  for dir in "include/${modules[i]}" "src/${modules[i]}"; do
    [[ -d $dir ]] && dirs+=("$dir")
  done
  ((${#dirs[@]})) || continue
  if grep -rnE "#include \"(include|src)/(${above//,/|})/" "${dirs[@]}"; then
    echo "check_layers: ${modules[i]} includes a module above it" >&2
    status=1
  fi
done
exit $status
