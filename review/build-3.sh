#!/bin/bash
# Builds the stand-ins and the player of the cases 11 to 15. The deploy file builds the project's own program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case review/harness-3/main.rs
