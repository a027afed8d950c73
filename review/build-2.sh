#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the
# deploy file: they are Python modules that use what that build has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/standins_2.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -m compileall -q target/review-2
PYTHONPATH=target/deps:target/review-2 python3 -c "import standins_2"
