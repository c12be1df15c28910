#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. Run it after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/drive ./review/_drive2
