#!/bin/bash
# Runs a case: run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u -m
cd "$(dirname "$0")/.." || exit 2
[ -x review/target/stand-in ] && [ -x target/release/load-balancer-proxy ] || {
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
}
# The stand-in and the proxies that it starts are one process group, which is ended here in any case.
timeout -k 2 110 review/target/stand-in "$2" "review/$1/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
