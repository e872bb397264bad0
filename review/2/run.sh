#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marigoldpoint ] && [ -x target/review-lab ] || exit 2
exec target/review-lab -case 2 -record review/2
