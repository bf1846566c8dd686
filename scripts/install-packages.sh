#!/usr/bin/env bash
# Installs the Debian packages needed for the build and the checks. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache make
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libcereal-dev libgflags-dev libfmt-dev
  librapidcheck-dev nlohmann-json3-dev libinih-dev libgtest-dev libgmock-dev libssl-dev libxxhash-dev
  clang-format clang-tidy python3 curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then exit 0; fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
