#!/bin/sh
# Builds the stand-ins of the second review.  Uses packages of the deploy file
# only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  gcc -std=gnu17 -O2 -Wall -Wextra -Ireview "review/$number/case.c" \
    review/stand2.c -o "target/review-2/case$number" -ljansson -lpthread
done
