#!/usr/bin/env bash
# Run the case; see claim.txt. Exit 1: the rule was broken, 0: it held,
# 2: the case could not run. TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:src:.:review
exec python3 review/10/case.py
