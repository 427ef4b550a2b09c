#!/bin/sh
# Plays the case against the deploy file's build, after review/build-2.sh: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
case=$root/review/stands-2/target/release/case-10
[ -x "$case" ] && [ -x "$root/target/release/coveroute" ] || { echo "not built" >&2; exit 2; }
pids=$(mktemp) || exit 2
CASE=$here ROOT=$root PIDS=$pids "$case"
code=$?
# A case that ends by itself has ended its nodes.
[ $code -le 2 ] || { while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$pids"; code=2; }
rm -f "$pids"
exit $code
