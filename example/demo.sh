#!/bin/sh
# Sets up and shows the main job: checks example/site.scale, starts the toy partners and a sender on that file, hands
# messages in, and prints an account of every final answer. Ends by itself; exit code 0 if the account is right.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt
exec .venv/bin/python example/demo.py "$@"
