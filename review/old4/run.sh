#!/usr/bin/env bash
# Runs the case on the programs in target/. Build them and review/build.sh first. It exits with 1 if
# the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rhubarbsaddled ] && [ -x ../../target/review/cases ] || { echo "build first"; exit 2; }
exec ../../target/review/cases resumed record.txt
