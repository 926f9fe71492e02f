#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python and use the standard library
# and the project's own stand-ins; the build checks that all of them compile and import.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness_2 ../platform/okefenokee/standin.py
python3 -c "from harness_2 import fleet, http"
