#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases 6 to 10 start. It needs cargo and no registry.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v cargo > /dev/null || { echo "build-2.sh: cargo is missing" >&2; exit 2; }
cargo build --release --offline --locked --manifest-path review/lib-2/Cargo.toml --target-dir target/review-2
