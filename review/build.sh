#!/usr/bin/env bash
# Checks the stand-ins and the cases, which are plain Python 3.11 and need
# no package. The entry hosts themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q -f standins.py [1-5]/case.py
