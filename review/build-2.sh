#!/usr/bin/env bash
# Build the stand-ins that the scripts of the second review start: the
# project's own and those of review/lib2. Their libraries are those that the
# build of the deploy file installs under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib2
