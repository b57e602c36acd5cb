#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. It needs no network: its libraries are among those of
# the project's own Cargo.lock.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/standins/Cargo.toml --target-dir target/review
