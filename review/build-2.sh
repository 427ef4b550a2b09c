#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, without a network. The node itself is built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stands-2/Cargo.toml --target-dir review/stands-2/target
