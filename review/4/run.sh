#!/bin/sh
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-standin ] && [ -x target/tanagercrossd ] || { echo "build first" >&2; exit 2; }
exec target/review-standin --scenario drain --record "$here/record.txt" --program "target/tanagercrossd platform"
