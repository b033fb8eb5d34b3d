#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
exec timeout -k 5 115 ../../.venv/bin/python case.py
