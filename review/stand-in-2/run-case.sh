#!/bin/bash
# Runs the program of a case: run-case.sh FOLDER NUMBER. It starts the proxy with the command of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$2
[ -x "$program" ] || { echo "build the project and run review/build-2.sh first"; exit 2; }
timeout -k 2 115 "$program" "$1"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
