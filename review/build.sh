#!/bin/bash
# The stand-ins are Python modules of this folder; compiling them shows that they load.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print(f"checked {path}")
PY
