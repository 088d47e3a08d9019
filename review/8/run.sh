#!/usr/bin/env bash
# Runs case 8: the health check of a worker never ends. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 110 target/review-2/clcase late-end review/8/record.txt
rc=$?
[ "$rc" -le 1 ] || exit 2
exit "$rc"
