#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: programs of the standard library alone. Those in Python are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    n=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$n" "$case"
done
for file in review/common/*.py review/[1-5]/case.py review/earlier/*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
