#!/usr/bin/env bash
# An evacuation that was acknowledged is taken back by an older order that was acknowledged before.
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the cut and the freeze.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-3 ] && [ -x target/gooseberrypond ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-stand-3 -case evacuation -dir "$folder" -files review/13 -record review/13/record.txt
