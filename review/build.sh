#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need no package beyond Rust's
# standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
