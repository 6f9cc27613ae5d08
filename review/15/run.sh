#!/usr/bin/env bash
# A gang is started on a minion long after the acknowledgement that it drains.
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the hang.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-stand-3 -case gang -dir "$folder" -files review/15 -record review/15/record.txt
