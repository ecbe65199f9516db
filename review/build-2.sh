#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Needs the Rust toolchain only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
