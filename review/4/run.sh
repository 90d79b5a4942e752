#!/bin/sh
# Runs the case; TROUBLE=0 keeps all connections open. Exit status: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:review/lib exec python3 review/4/run.py
