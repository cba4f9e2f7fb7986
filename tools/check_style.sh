#!/usr/bin/env bash
# Checks the format, the module layers and the lint rules of all C++ files.
# Usage: tools/check_style.sh [BUILD_DIR]
# BUILD_DIR contains compile_commands.json (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '_generated\.h$')
clang-format --dry-run -Werror "${files[@]}"
tools/check_layers.sh

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
tools/check_lint.sh "$build" "${sources[@]}"
