#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 parallel review/10
