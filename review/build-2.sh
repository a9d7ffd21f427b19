#!/bin/sh
# Builds the stand-ins and judges of the cases 6 to 10 into target/review-2, by rustc and the standard library alone. Run
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    rustc --edition 2024 -O -o "target/review-2/case-$case" "review/$case/case.rs"
done
