#!/usr/bin/env bash
# Checks the stand-ins and the cases of the second review, which are plain
# Python 3.11 and need no package.  The build of the deploy file makes the
# entry hosts.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile standins_2.py
for case in 6 7 8 9 10; do
  if [ -e "$case/case.py" ]; then
    python3 -m py_compile "$case/case.py"
  fi
done
