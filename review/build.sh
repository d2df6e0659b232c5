#!/bin/sh
# Builds the stand-ins and the cases into target/review/.  Needs only what the
# build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu17 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread -o target/review/stand \
  review/cases.c review/stand.c review/store.c review/engine.c review/proxy.c \
  $(pkg-config --cflags --libs jansson)
