#!/usr/bin/env bash
# Case 8. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanway-node ] && [ -x target/reviewcases2 ] || exit 2
exec timeout -k 2 110 target/reviewcases2 listed review/8
