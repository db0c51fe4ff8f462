#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file: their stand-ins are Python.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/common_2 review/6 review/7 review/8 review/9 review/10
