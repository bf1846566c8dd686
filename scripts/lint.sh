#!/usr/bin/env bash
# Runs clang-tidy over all sources, several at a time. Prints only findings; the exit code is the verdict.
# A result is kept in .cache/lint per file content, so that an unchanged tree is checked in seconds.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
mkdir -p .cache/lint
headers=$(git ls-files '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export build headers
check_file() {
  local key
  key=$(cat "$1" | sha256sum | cut -c1-32)
  [ -e ".cache/lint/$headers-$key" ] && return 0
  if out=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null); then touch ".cache/lint/$headers-$key"; return 0; fi
  printf '%s\n' "$out"
  return 1
}
export -f check_file
git ls-files 'src/*.cpp' | xargs -r -P "${LINT_JOBS:-8}" -I{} bash -c 'check_file {}'
