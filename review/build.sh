#!/bin/sh
# Builds the harness of the cases: all stand-ins in one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
