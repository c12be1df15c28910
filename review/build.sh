#!/usr/bin/env bash
# Builds the stand-ins of the review scripts into target/. They use the standard library only.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root/review/standin"
GOFLAGS=-buildvcs=false GOWORK=off CGO_ENABLED=0 go build -o "$root/target/review-standin" .
