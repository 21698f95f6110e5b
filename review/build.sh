#!/usr/bin/env bash
# Checks the stand-ins that the scripts use. They are plain Python of the standard library, so there
# is nothing to compile; the gateways are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
END
