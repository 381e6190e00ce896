#!/usr/bin/env bash
# Builds everything and runs all tests; KNOWN-RED.txt lists tests that fail for a recorded reason.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked --release --bins
skip=()
if [ -s KNOWN-RED.txt ]; then
    echo "Tests listed in KNOWN-RED.txt, not run:"
    while IFS= read -r name; do
        echo "  $name"
        skip+=(--skip "$name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
cargo test --workspace --locked --release -- "${skip[@]}"
