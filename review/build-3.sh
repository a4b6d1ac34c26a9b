#!/bin/sh
# Builds the stand-ins of the third review's scripts, into target/review-3/. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/sim review/sim-3/main.rs
