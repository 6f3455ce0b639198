#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
