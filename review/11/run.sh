#!/usr/bin/env bash
# A worker that leaves as planned gets no acknowledgement of its deregistration.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] || exit 2
exec target/review3 leave review/11/record.txt
