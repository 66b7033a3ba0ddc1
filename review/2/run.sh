#!/bin/sh
# Writes record.txt beside itself: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$folder/record.txt"
: > "$record" || { echo "$record can't be written" >&2; exit 2; }
command -v python3 >/dev/null || { echo "python3 is missing" | tee "$record" >&2; exit 2; }
exec python3 "$folder/case.py" "$record"
