#!/usr/bin/env bash
# Builds everything and runs the main job on embedded stand-ins.
set -eu
cd "$(dirname "$0")"
cargo build --release --workspace --bins
exec target/release/sailtrack-rig demo
