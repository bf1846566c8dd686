#!/usr/bin/env bash
# Prepares the cases 6 to 10. Their stand-ins are Python programs of the standard library (review/standins2.py), which
# run in the process of the case, so there is nothing to compile; this checks that the interpreter reads them. The router
# comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in [pathlib.Path("standins2.py"), *sorted(pathlib.Path(".").glob("*/run.py"))]:
    ast.parse(path.read_text(), str(path))
    print("read", path)
PYTHON
