#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 118 target/review-lab lookup "$PWD" "$PWD/review/9"
