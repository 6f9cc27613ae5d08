#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand ] && [ -x target/gooseberrypond ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-stand cancelled review/5/record.txt
