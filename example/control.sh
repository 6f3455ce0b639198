#!/bin/sh
# Sets up and shows control: a control service, three proxies behind links that fail, and a partner that drains, goes away
# and returns cold. Ends by itself with the audit's verdict, rule by rule; exit code 0 if every rule was kept.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt -r requirements-control.txt
exec .venv/bin/python example/control_demo.py "$@"
