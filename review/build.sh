#!/bin/sh
# Builds what the cases start beside the sender. Their stand-ins are Python with the standard library alone
# (review/common/standins.py, 3.11 or newer), so nothing is installed; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/common"); import standins'
