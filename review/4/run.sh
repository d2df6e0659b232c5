#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0 leaves the disruption out.  Needs the build of the deploy
# file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsley-gate ] && [ -x target/review/stand ] || exit 2
exec target/review/stand case 4 review/4
