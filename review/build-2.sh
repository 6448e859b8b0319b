#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, without cargo and without dependencies.
# The daemon itself is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
