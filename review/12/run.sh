#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the other name of the queue out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/balsamcove target/review-3/rig; do
	[ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review-3/rig -case renamed -record review/12/record.txt
