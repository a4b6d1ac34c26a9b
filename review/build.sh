#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, with the compiler and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/sim review/sim/main.rs
