#!/bin/sh
# Builds the stand-ins of the scripts: Python sources without dependencies.
exec python3 -m compileall -q "$(dirname "$0")"
