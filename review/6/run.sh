#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Build first: the build line of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rhubarbsaddled ] && [ -x target/review2/cases2 ] || exit 2
exec target/review2/cases2 -case restart -record review/6/record.txt
