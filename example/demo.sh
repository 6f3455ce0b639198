#!/bin/sh
# Sets up and demonstrates a sender: checks example/site.scale, starts the toy server and a sender on that file, hands
# messages in, and prints every final answer. Ends by itself; exit code 0 if each message had exactly one.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt
exec .venv/bin/python example/demo.py "$@"
