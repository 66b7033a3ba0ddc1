#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays it
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/release/review_standins_2
[ -x "$driver" ] || { echo "run.sh: $driver is missing: run review/build-2.sh first" >&2; exit 2; }
exec "$driver" silence review/9
