#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sapphiredrum ] && [ -x target/review-3/driver3 ] || exit 2
exec target/review-3/driver3 charged review/11/record.txt
