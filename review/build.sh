#!/usr/bin/env bash
# Builds what the scripts of the review start. All stand-ins are Python files that need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
