#!/bin/sh
# Checks that the deploy file has been built, and compiles the stand-ins of the review.
# The project's own store stand-in is a part of target/deps, as deploy/build.sh puts it.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
test -f target/deps/carobstand/standin/platform/kv.py
python3 -m compileall -q review/lib
