#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
[ -f target/app/hub_main.py ] && [ -f target/review-2/standins_2.py ] || exit 2
PYTHONPATH=target/deps:target/review-2 exec python3 "$case/play.py"
