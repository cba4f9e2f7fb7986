#!/usr/bin/env bash
# A part that crashes replicas, with a long id. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no request
# has that part. SHORT_IDS=1: the same with ids of 32 bits.
# DEEP=1 with SHORT_IDS=1: the part stands behind 70 others.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/papaya_gateway || ! -x target/review-2/cases ]]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2/cases long-part-ids review/10/record.txt
