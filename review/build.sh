#!/usr/bin/env bash
# Builds the stand-ins of all cases: one program for each, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for case in */case.rs; do
    name=$(dirname "$case")
    rustc --edition 2021 -O -o "target/case-$name" "$case"
done
