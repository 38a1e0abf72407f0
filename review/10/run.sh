#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the cuts. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebellholdd ] && [ -x target/field ] || exit 2
timeout 115 target/field -case cut -record review/10/record.txt \
  -daemon "target/bluebellholdd --entry --settings"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
