#!/bin/bash
# Builds the stand-ins of the review's scripts: one program a case, of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    [ -e "$case" ] || continue
    n=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$n" "$case"
done
