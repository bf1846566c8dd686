#!/usr/bin/env bash
# Runs the tests of a build folder with ctest. Tests listed in KNOWN-RED.txt are run apart and reported, and do not
# decide the verdict. Usage: run-tests.sh BUILD [ctest options]
set -euo pipefail
build=${1:-build}
shift || true
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' - || true)
# A test that allocates without end must fail instead of exhausting the memory of the host. Sanitizers reserve terabytes of
# address space, so the limit does not apply to them.
if [[ "$build" != *sanitize* ]]; then ulimit -v $((4 * 1024 * 1024)); fi
options=(--test-dir "$build" --output-on-failure --no-tests=error -j "${TEST_JOBS:-6}")
if [ -n "$known" ]; then
  echo "tests listed in KNOWN-RED.txt, run apart:"
  ctest "${options[@]}" -R "^($known)\$" "$@" | grep -E '^ *[0-9]+/|tests passed' || true
  ctest "${options[@]}" -E "^($known)\$" "$@"
else
  ctest "${options[@]}" "$@"
fi
