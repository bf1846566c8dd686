#!/usr/bin/env bash
# Runs clang-tidy on all sources in parallel. Prints only findings and fails if there are any.
# Clean results are cached by a hash of the file and the project headers that it includes, so unchanged files are not
# checked again. LINT_CACHE sets the cache folder and LINT_JOBS the number of parallel checks.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
cache=${LINT_CACHE:-$HOME/.cache/persimmon-lint}
mkdir -p "$cache"
export build cache
check_file() {
  local headers key
  headers=$(g++ -std=c++20 -DBOOST_ASIO_SEPARATE_COMPILATION -I. -Iinclude -Isrc -MM "$1" | tr ' \\' '\n\n' | grep -E '^(include|src|platform)/' | sort -u)
  key=$(cat .clang-tidy $headers | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if out=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null); then touch "$cache/$key"; return 0; fi
  printf '%s\n' "$out"
  return 1
}
export -f check_file
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -r -P "${LINT_JOBS:-6}" -I{} bash -c 'check_file {}'
