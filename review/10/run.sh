#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/guavarail ] && [ -x target/review-2/drive ] || exit 2
exec target/review-2/drive -case pending -program target/guavarail -record "$here/record.txt"
