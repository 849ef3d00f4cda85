#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/8 ] && [ -x target/release/tallypin ] || { echo "run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
# Beyond the time limit the program and the routers that it has started, one process group, are ended together.
timeout --kill-after=5 110 target/review-2/8 review/8
code=$?
[ $code -le 1 ] && exit $code
exit 2
