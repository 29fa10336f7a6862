#!/bin/sh
# Builds what the cases 4 to 7 start, after the build of the deploy file: the project's own
# stand-ins (pebblectl, pebblefold-agent) and the review's stand, a program of the standard
# library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2024 -O review/stand-2/main.rs -o target/review-2/stand
