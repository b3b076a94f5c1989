#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. TROUBLE=restart only stops and starts the host.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamcove ] && [ -x target/review/standin ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/standin retired target/balsamcove review/1/record.txt
