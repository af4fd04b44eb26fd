#!/usr/bin/env bash
# Build the stand-ins that the scripts of cases 11 to 15 start. They need
# nothing but the standard library and what the deploy file's build installs
# under target/, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "build the deploy file first" >&2; exit 1; }
python3 -m compileall -q review/lib3 standins
for case in 11 12 13 14 15; do
    if [ -f "review/$case/case.py" ]; then
        python3 -m compileall -q "review/$case"
    fi
done
