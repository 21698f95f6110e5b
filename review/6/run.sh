#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
exec python3 "$(dirname "$0")/case.py"
