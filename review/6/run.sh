#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: the same without the disruption.
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/review_2_site
[ -x "$program" ] && [ -x "$root/target/skylarkhubd" ] || exit 2
exec timeout --kill-after=5 115 "$program" recurring "$root" "$(dirname "$0")/record.txt"
