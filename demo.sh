#!/usr/bin/env bash
# Builds everything and runs an example deployment on loopback: siam-markwell (default) or timbre-listo.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked --release --bins
exec ./target/release/demo --example "${1:-siam-markwell}"
