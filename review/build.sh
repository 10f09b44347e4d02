#!/usr/bin/env bash
# Checks the stand-ins of the scripts under review/. They are Python programs that use the standard
# library alone, so there is nothing to compile; a syntax error fails here.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob

for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]*/*.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
    print("checked", path)
PY
