#!/bin/sh
# Builds the stand-ins and judges of the cases, with the standard library alone. Run after the build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
for folder in "$root"/review/[0-9]*; do
    name=$(basename "$folder")
    rustc --edition 2024 -O -o "$root/target/review/case-$name" "$folder/case.rs"
done
