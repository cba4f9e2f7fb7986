#!/usr/bin/env bash
# Runs clang-tidy on the sources that changed since they last passed it.
# Usage: tools/check_lint.sh BUILD_DIR SOURCE...
# A source counts as changed if the source itself, a header of this repository
# that it includes, .clang-tidy or the version of clang-tidy changed. A stamp
# file in BUILD_DIR/lint records each pass; without stamps, as in a fresh clone,
# all sources are linted.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
stamps=$build/lint
mkdir -p "$stamps"

lint_settings=$(cat .clang-tidy <(clang-tidy --version) | sha256sum)

# One line `SOURCE FILE` for each file of this repository that a compiled source
# depends on.
dependencies=$(ninja -C "$build" -t deps | awk -v root="$PWD/" '
  /^[^ ]/ { source = "" }
  /^ / {
    path = $1
    # Relative to BUILD_DIR, which is a folder of the root, if ccache has a
    # base_dir.
    sub(/^\.\.\//, root, path)
    if (index(path, root) != 1) next
    path = substr(path, length(root) + 1)
    if (source == "") source = path
    print source, path
  }')

# Prints a hash of everything that the lint result of a source depends on.
stamp_name() { # SOURCE
  local headers
  mapfile -t headers < <(awk -v source="$1" \
    '$1 == source { print $2 }' <<<"$dependencies" | sort -u)
  {
    printf '%s\n' "$lint_settings"
    cat "$1" "${headers[@]}"
  } | sha256sum | cut -d' ' -f1
}

lint() { # SOURCE STAMP
  if clang-tidy -p "$build" --quiet "$1" 2>/dev/null; then
    touch "$2"
  else
    echo "lint: $1 failed" >&2
    return 1
  fi
}
export -f lint
export build

pending=()
for source in "$@"; do
  stamp=$stamps/$(stamp_name "$source")
  [[ -e $stamp ]] || pending+=("$source" "$stamp")
done
echo "lint: $((${#pending[@]} / 2)) of $# sources"
((${#pending[@]} == 0)) ||
  printf '%s\n' "${pending[@]}" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c 'lint "$0" "$1"'
