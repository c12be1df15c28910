#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15. The programs of the deploy file are built by
# its own build line before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review3 ./review/_drive3
