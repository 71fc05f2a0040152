#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stage review/harness-2/main.rs
