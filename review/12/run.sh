#!/usr/bin/env bash
# Tasks of a minion that leaves run twice, since it is cut off before the acknowledgement reaches it.
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the cut.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-3 ] && [ -x target/gooseberrypond ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-stand-3 -case leave -dir "$folder" -files review/12 -record review/12/record.txt
