#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked --target-dir ../../target/review
