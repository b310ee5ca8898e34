#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which need only the standard library. The programs under test
# come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
