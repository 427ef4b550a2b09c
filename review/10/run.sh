#!/bin/sh
# Writes what was sent, answered and run to record.txt beside it. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../stands-2/play.sh" 10 "$here/record.txt"
