#!/bin/sh
# Builds the stand-ins of the cases of the second review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 review/sim-2/main.rs -o target/review-2/sim
