#!/bin/bash
# docs/MANUAL.md documents exactly the flags and variables of the programs, and
# the committed man pages are up to date with it.
set -u
dir=$(mktemp -d)
trap 'rm -r "$dir"' EXIT
failed=0

for program in parsleyd parsley-gate parsleyctl parsley-standin; do
  awk -v name="$program" '/^# / { on = index($2, name "(") == 1 } on' docs/MANUAL.md >"$dir/text"
  [ -s "$dir/text" ] || { echo "no manual of $program"; failed=1; }
  for word in $("$BUILD/$program" --help | grep -oE -- '--[a-z][a-z-]*|PARSLEY_[A-Z_]+' | sort -u); do
    grep -qE -- "$word([^a-z_-]|\$)" "$dir/text" || { echo "$program: $word is not in the manual"; failed=1; }
  done
  for word in $(grep -oE -- '`--[a-z][a-z-]*' "$dir/text" | tr -d '\`' | sort -u); do
    "$BUILD/$program" --help | grep -qE -- "$word([^a-z-]|\$)" || { echo "$program has no $word"; failed=1; }
  done
done
scripts/man.sh "$dir/man"
diff -r "$dir/man" docs/man || { echo "run scripts/man.sh"; failed=1; }
exit $failed
