#!/bin/sh
# Runs each fuzz target given for FUZZ_SECONDS (default 20), starting from the
# committed corpus tests/corpus/NAME. New inputs are saved in
# $BUILD/corpus/NAME, crashing inputs as $BUILD/corpus/NAME-*.
set -eu
for target in "$@"; do
  name=$(basename "$target")
  name=${name#fuzz_}
  new_corpus="$BUILD/corpus/$name"
  mkdir -p "$new_corpus" "tests/corpus/$name"
  "$target" -seed=1 -max_total_time="${FUZZ_SECONDS:-20}" -max_len=65536 \
    -artifact_prefix="$BUILD/corpus/$name-" -print_final_stats=1 \
    "$new_corpus" "tests/corpus/$name"
done
