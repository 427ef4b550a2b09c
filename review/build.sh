#!/bin/sh
# Builds the stand-ins that the cases start. No network is needed: they use the standard library alone.
set -eu
cd "$(dirname "$0")/rig"
cargo build --release --locked --offline
