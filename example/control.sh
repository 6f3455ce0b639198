#!/bin/sh
# Sets up and demonstrates control: a control service, three proxies behind links that fail, and a destination that drains,
# fails and recovers cold. Ends by itself with the audit's result for each rule; exit code 0 if no rule was broken.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt -r requirements-control.txt
exec .venv/bin/python example/control_demo.py "$@"
