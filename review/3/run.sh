#!/bin/sh
# Plays this case on loopback after the build of the deploy file and review/build.sh; TROUBLE=0
# leaves the disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/release/stand target/release/pimentousher-gateway \
	target/release/pimentousher-registrar; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
target/review/release/stand term review/3
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
