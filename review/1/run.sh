#!/usr/bin/env bash
# Shows case 1; see claim.txt. TROUBLE=0 runs it without the disruption.
exec python3 "$(dirname "$0")/case.py"
