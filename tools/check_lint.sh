#!/usr/bin/env bash
# Lints the sources that changed since they were last found clean.
# Usage: tools/check_lint.sh BUILD_DIR SOURCE...
# A source counts as changed with itself, a header of ours that it includes, the
# lint settings or the linter. Stamps lie in BUILD_DIR/lint; without them, as in
# a fresh clone, everything is linted.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
stamps=$build/lint
mkdir -p "$stamps"

settings=$(cat .clang-tidy <(clang-tidy --version) | sha256sum)

# Lines `SOURCE HEADER` for all that the build has compiled.
dependencies=$(ninja -C "$build" -t deps | awk -v root="$PWD/" '
  /^[^ ]/ { source = "" }
  /^ / {
    path = $1
    if (index(path, root) != 1) next
    path = substr(path, length(root) + 1)
    if (source == "") source = path
    print source, path
  }')

# The key of a source: what its verdict depends on.
key_of() { # SOURCE
  local headers
  mapfile -t headers < <(awk -v source="$1" \
    '$1 == source { print $2 }' <<<"$dependencies" | sort -u)
  {
    printf '%s\n' "$settings"
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

todo=()
for source in "$@"; do
  stamp=$stamps/$(key_of "$source")
  [[ -e $stamp ]] || todo+=("$source" "$stamp")
done
echo "lint: $((${#todo[@]} / 2)) of $# sources"
((${#todo[@]} == 0)) ||
  printf '%s\n' "${todo[@]}" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c 'lint "$0" "$1"'
