#!/usr/bin/env bash
# Everything that has to hold before a change lands: format, lints, build,
# tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --workspace --all-targets --quiet -- -D warnings
cargo build --locked --release --quiet
cargo test --workspace --locked --quiet
