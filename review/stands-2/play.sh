#!/bin/sh
# play.sh NUMBER RECORD: plays the case with this number against the deploy file's build, after review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
case=$root/review/stands-2/target/release/case-$1
[ -x "$case" ] && [ -x "$root/target/release/coveroute" ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
end() {
    # A case that ends by itself has ended its nodes; one that is broken off has not.
    [ -f "$folder/pids" ] && while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$folder/pids"
    rm -rf "$folder"
    exit "$1"
}
trap 'kill -9 "$child" 2>/dev/null; end 2' INT TERM HUP
# Again if a node could not start (3): another program may have taken its port just then.
for _ in 1 2 3 4 5 6; do
    rm -f "$folder/pids"
    RECORD=$2 ROOT=$root PIDS=$folder/pids TMPDIR=$folder "$case" &
    child=$!
    wait "$child"
    code=$?
    [ $code -eq 3 ] || break
done
[ $code -le 2 ] || end 2
rm -rf "$folder"
exit $code
