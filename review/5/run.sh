#!/usr/bin/env bash
# Plays this case; TROUBLE=0 plays it without its disruption. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. Build the deploy file and
# review/build.sh first.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/review-standin odd-id target/guavarail "$here/record.txt"
