#!/bin/bash
# Runs parsleyctl: exit statuses, numbers of output lines, and no output on
# success.
set -u
ctl=$BUILD/parsleyctl
dir=$(mktemp -d)
trap 'rm -r "$dir"' EXIT
failed=0

# expect CODE STDOUT_LINES STDERR_LINES ARGUMENTS...: runs parsleyctl and checks
# its exit status and the number of lines that it prints.
expect () {
  local code=$1 out=$2 err=$3
  shift 3
  "$ctl" "$@" >"$dir/out" 2>"$dir/err" </dev/null
  local got="$? $(wc -l <"$dir/out") $(wc -l <"$dir/err")"
  if [ "$got" != "$code $out $err" ]; then
    echo "parsleyctl $*: got $got, expected $code $out $err"
    cat "$dir/out" "$dir/err"
    failed=1
  fi
}

for name in kettle-point andamios demo; do
  expect 0 0 0 config check "docs/examples/$name.json"
done
printf '{"sections": {"a": {"x": 1, "cold_weight": 3}}}' >"$dir/bad.json"
expect 1 0 2 config check "$dir/bad.json"
printf '{"sections":\n {' >"$dir/truncated.json"
expect 1 0 1 config check "$dir/truncated.json"
grep -q "truncated.json: 2:" "$dir/err" || { echo "no line number in: $(cat "$dir/err")"; failed=1; }
expect 2 0 1 config check "$dir/none.json"
expect 2 0 1 status
expect 3 0 1 status --node 127.0.0.1:1
expect 2 0 1 --no-such-flag
[ "$("$ctl" -V)" != "" ] || failed=1
exit $failed
