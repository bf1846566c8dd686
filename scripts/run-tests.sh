#!/usr/bin/env bash
# Runs the tests of a build folder with ctest. Usage: run-tests.sh BUILD [ctest options]
# Tests listed in KNOWN-RED.txt run separately. Their results are printed but do not affect the exit code.
set -euo pipefail
build=${1:-build}
shift || true
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' - || true)
# Limits the address space, so that a test with runaway allocation fails instead of exhausting the memory of the host.
# Sanitizers reserve terabytes of address space, so their builds run without the limit.
if [[ "$build" != *sanitize* ]]; then ulimit -v $((4 * 1024 * 1024)); fi
options=(--test-dir "$build" --output-on-failure --no-tests=error -j "${TEST_JOBS:-6}")
if [ -n "$known" ]; then
  echo "tests listed in KNOWN-RED.txt, run separately:"
  ctest "${options[@]}" -R "^($known)\$" "$@" | grep -E '^ *[0-9]+/|tests passed' || true
  ctest "${options[@]}" -E "^($known)\$" "$@"
else
  ctest "${options[@]}" "$@"
fi
