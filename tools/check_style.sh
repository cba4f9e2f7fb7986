#!/usr/bin/env bash
# Checks format, lint and module layering. Usage: tools/check_style.sh [BUILD_DIR]
# BUILD_DIR holds compile_commands.json (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '_generated\.h$')
clang-format --dry-run -Werror "${files[@]}"
tools/check_layers.sh

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
findings=$(printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null |
  sed -nE "s|^$PWD/([^:]+):[0-9]+:[0-9]+: (error\|warning): .*\[([a-z-]+).*|\1 \3|p" |
  sort -u || true)

# Findings that KNOWN-RED.txt lists are printed and passed over, no others.
known=$(sed -n 's/^lint: //p' KNOWN-RED.txt 2>/dev/null | sort -u || true)
comm -12 <(echo "$findings") <(echo "$known") | sed 's/^/known red lint: /'
fresh=$(comm -23 <(echo "$findings") <(echo "$known"))
if [[ -n $fresh ]]; then
  printf 'lint: %s\n' "$fresh" >&2
  exit 1
fi
