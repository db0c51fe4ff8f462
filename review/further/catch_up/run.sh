#!/usr/bin/env bash
# Runs this script, which is no case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../../.."
exec .venv/bin/python -m review.further.catch_up.case
