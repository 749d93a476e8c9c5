#!/bin/sh
# Plays the case "lost". Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/review-standins ] || [ ! -x target/platform/tallybridge-platform ]; then
    echo "build first: deploy file and review/build.sh" >&2
    exit 2
fi
exec target/review/review-standins lost review/2
