#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
# Does nothing if all of them are installed.
set -euo pipefail

packages=(
  ccache clang-format clang-tidy cmake g++ git ninja-build
  libboost1.81-dev libboost-json1.81-dev libboost-log1.81-dev
  libabsl-dev libflatbuffers-dev flatbuffers-compiler libgflags-dev
  libssl-dev zlib1g-dev prometheus-cpp-dev catch2 librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [[ $status == "install ok installed" ]] || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
  exit 0
fi

as_root=()
((EUID == 0)) || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
