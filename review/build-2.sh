#!/bin/sh
# Builds what the cases 6 to 10 start beside the node: the agent and the command line of this project. The
# stand-ins in second/ need the standard library only.
set -e
cd "$(dirname "$0")/.."
make -s all
.venv/bin/python -m compileall -q oakkeel review/second
