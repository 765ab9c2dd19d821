#!/bin/sh
# Runs case 10: exit status 0 where the rule held, 1 where it was broken, 2 where the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-10 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
CASE_DIR=review/10 exec bin/review-10
