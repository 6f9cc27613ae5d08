#!/usr/bin/env bash
# A task that is done starts again: a late order reaches the next incarnation of its minion.
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the late order and the crash.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-3 ] && [ -x target/gooseberrypond ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-stand-3 -case late -dir "$folder" -files review/15 -record review/15/record.txt
