#!/bin/sh
# Builds the stand-ins of the review with the compiler alone. Needs no network and no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2021 -O -o target/review/review-standins review/standins/main.rs
