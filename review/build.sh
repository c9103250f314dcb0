#!/bin/sh
# Builds what the scripts start besides the router, which the build line of deploy/system.toml builds. All stand-ins are
# Python of the standard library (3.8 or later), so that this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for name in glob.glob("lib/*.py") + glob.glob("*/scenario.py"):
    with open(name) as f:
        compile(f.read(), name, "exec")
CHECK
