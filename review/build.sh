#!/bin/sh
# The stand-ins are plain Python of the standard library: compile them once, so that a fault shows here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
