#!/bin/sh
# Puts the programs and the libraries that they import into target/deps.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/carobstand
cp -R src/carobstand target/deps/carobstand
python3 -m compileall -q target/deps/carobstand
