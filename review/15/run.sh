#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x target/bin/knapweed-gateway ] && [ -x "target/review-3/case-$number" ] || exit 2
"target/review-3/case-$number" "$here/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
