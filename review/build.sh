#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are written in Python and need no build: this checks
# that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - harness.py */case.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
EOF
