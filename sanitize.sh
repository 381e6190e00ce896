#!/usr/bin/env bash
# Runs the tests of the connections between nodes, and an example deployment, under AddressSanitizer.
# Needs a nightly compiler: rustup toolchain install nightly.
set -euo pipefail
cd "$(dirname "$0")"
if ! cargo +nightly --version >/dev/null 2>&1; then
    echo "no nightly compiler is installed: the sanitizer run is left out"
    exit 0
fi
target=x86_64-unknown-linux-gnu
export RUSTFLAGS="-Zsanitizer=address"
export CARGO_TARGET_DIR=target/sanitize
# Tasks that are still queued when an event loop ends are not freed.
export ASAN_OPTIONS="detect_leaks=0:detect_stack_use_after_return=1"
cargo +nightly test --locked --target "$target" --test pinned_stream --test peer_protocol
cargo +nightly build --locked --workspace --bins --target "$target"
"$CARGO_TARGET_DIR/$target/debug/demo" --example timbre-listo
