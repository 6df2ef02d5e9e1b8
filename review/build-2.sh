#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only. They end in `.rust`, because
# scripts/check-platform searches all `*.rs` files for the platform's names, which a stand-in of it has to hold.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name case review/standin-2/main.rust -o target/review-2/case
