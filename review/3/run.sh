#!/usr/bin/env bash
# Runs case 3; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec .venv/bin/python -m review.3.case
