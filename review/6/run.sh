#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gooseberrypond ] || [ ! -x target/review-stand-2 ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
exec target/review-stand-2 dropped review/6
