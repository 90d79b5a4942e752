#!/bin/sh
# Runs the case; TROUBLE=0 loses no answer. Exit status: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:review/lib exec python3 review/1/run.py
