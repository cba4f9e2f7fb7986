#!/usr/bin/env bash
# Generates the committed FlatBuffers code from schemas/. Run after a change
# there; needs flatc.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api -o src/wire schemas/peer.fbs
flatc --cpp --cpp-std c++17 -o src/wire schemas/handshake.fbs

# The linter passes over generated code.
for header in src/wire/*_generated.h; do
  sed -i '1i // NOLINTBEGIN' "$header"
  echo '// NOLINTEND' >>"$header"
done
