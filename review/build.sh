#!/bin/bash
# Builds the stand-ins of the scripts; needs only the Rust compiler.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
