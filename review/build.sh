#!/usr/bin/env bash
# Builds every program that the cases start beside the deploy file's: the project's own programs
# and the review's stand-ins, which use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p pebblectl -p pebblefold-agent
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
