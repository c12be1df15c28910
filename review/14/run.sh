#!/usr/bin/env bash
# Workers leave as planned, each right after it has sent the list of its last ends.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] || exit 2
exec target/review3 last review/14/record.txt
