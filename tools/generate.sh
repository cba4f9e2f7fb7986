#!/usr/bin/env bash
# Generates the FlatBuffers code in src/wire from schemas/. Run it after a
# change of a schema and commit the result. Needs flatc.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api -o src/wire schemas/peer.fbs
flatc --cpp --cpp-std c++17 -o src/wire schemas/handshake.fbs

# Exclude the generated code from clang-tidy.
for header in src/wire/*_generated.h; do
  sed -i '1i // NOLINTBEGIN' "$header"
  echo '// NOLINTEND' >>"$header"
done
