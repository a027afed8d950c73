#!/bin/sh
# Build the stand-ins that the scripts of the cases start; no network is needed.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] && [ -f target/app/hub_main.py ] || {
    echo "build deploy/system.toml first" >&2
    exit 2
}
python3 -m compileall -q src/primrosehub src/primrosehub_standins review || exit 2
PYTHONPATH=target/deps:src python3 -c "import primrosehub_standins.hub_cell"
