#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd)
[ -x "$root/target/review/case-3" ] && [ -x "$root/target/release/copperroute" ] || exit 2
REVIEW_ROOT="$root" exec "$root/target/review/case-3"
