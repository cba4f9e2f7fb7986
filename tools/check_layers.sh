#!/usr/bin/env bash
# Fails if a module includes a header of a module in a higher layer.
set -euo pipefail
cd "$(dirname "$0")/.."

# From the lowest layer to the highest, as in CMakeLists.txt.
modules=(base chart telemetry settings config membership routing admission
  once rollout wire gateway standin daemon ctl)

status=0
for ((i = 0; i < ${#modules[@]}; i++)); do
  higher=$(IFS='|'; echo "${modules[*]:i+1}")
  [[ -n $higher ]] || continue
  dirs=()
  for dir in "include/${modules[i]}" "src/${modules[i]}"; do
    [[ -d $dir ]] && dirs+=("$dir")
  done
  ((${#dirs[@]})) || continue
  if grep -rnE "#include \"(include|src)/(${higher//,/|})/" "${dirs[@]}"; then
    echo "check_layers: ${modules[i]} includes a header of a higher layer" >&2
    status=1
  fi
done

# platform/ only translates for the gateway, and the programs' main files for
# their modules: no module may include either.
if grep -rnE '#include "(platform/|src/[a-z_]+_main)' include src/*/; then
  echo "check_layers: a module includes platform/ or a program" >&2
  status=1
fi
# platform/ may use the gateway's public headers and the modules below it.
if grep -rnE '#include "(include|src)/(standin|daemon|ctl)/|#include "src/gateway/' platform; then
  echo "check_layers: platform/ includes more than it translates for" >&2
  status=1
fi
exit $status
