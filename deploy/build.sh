#!/bin/sh
# Builds the directories that the platform runs: target/deps, only when dependencies
# changed, and target/app at every call.
set -eu
stamp=target/deps/.installed
if [ ! "$stamp" -nt requirements.lock ] || [ ! "$stamp" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt -c requirements.lock
    touch "$stamp"
fi
rm -rf target/app
mkdir -p target/app
cp -R src/ragworthoist target/app/ragworthoist
cp deploy/launch.py target/app/__main__.py
python3 -m compileall -q --invalidation-mode unchecked-hash target/app
