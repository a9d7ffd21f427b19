#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the Rust tool chain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -C opt-level=2 --crate-name stage -o target/review-2/stage review/stage-2/main.rs
