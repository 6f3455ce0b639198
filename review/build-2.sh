#!/bin/sh
# Prepares the stand-ins of cases 6 to 10: Python files of the standard library, so there is nothing to compile for a machine.
# Checks that the interpreter reads them, and that the build of the deploy file has left what its `run` starts.
cd "$(dirname "$0")/.." || exit 1
python3 -B - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
for pattern in ("review/second/*.py", "review/[6-9]/case.py", "review/10/case.py"):
    for path in pathlib.Path().glob(pattern):
        ast.parse(path.read_text(), str(path))
if not pathlib.Path(".venv/bin/python").exists():
    sys.exit("the build of deploy/balancer.toml has not run")
END
