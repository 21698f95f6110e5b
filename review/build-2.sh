#!/bin/sh
# The stand-ins of the second review use only Python's standard library, so nothing is built. This
# checks that they compile and that the build of the deploy file has been run.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/sassafrasway_gateway
python3 - review/standin2.py review/link2.py review/[6-9]/case.py review/10/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
END
