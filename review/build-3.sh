#!/bin/sh
# Builds the stand-ins of the third review.  They are plain Python with the
# standard library only, so this only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins_3.py review/1[1-5]/*.py
