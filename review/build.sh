#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: compiles their modules, which need only Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")'
