#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rust
