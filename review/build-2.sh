#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8. They are Python scripts that need the standard library only, so nothing is
# compiled; this checks that the interpreter can read them and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for name in ["harness_2.py", *sorted(glob.glob("[0-9]*/case.py"))]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PY
test -x ../target/verbenaproxy || echo "target/verbenaproxy is missing: run the build of deploy/system.toml"
