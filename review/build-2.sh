#!/bin/bash
# Builds the programs of the cases from 6 on, each with its stand-ins, into target/review-2. They use the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-in-2/case-*.rs; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "target/review-2/$name" "$source"
done
