#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the router of the deploy file. Their stand-ins are
# Python programs (review/lib3) that use its standard library alone, so there is nothing to compile: this checks that
# the interpreter is there and that each of them can be read. Exits with 0 if so.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec python3 -B - lib3/*.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py <<'END'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print("ready:", path)
END
