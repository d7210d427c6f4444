#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone, into review/target/.
set -eu
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2021 -O -o target/stand-in stand-in/main.rs
