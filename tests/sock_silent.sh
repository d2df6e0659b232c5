#!/bin/bash
# Established connections to the engine stop responding while new ones work:
# requests are served on a new connection, within the idle timeout.
set -u
. scripts/lib.sh
export PARSLEY_SILENCE=800
bring_up 2 1 1
for i in 1 2 3 4; do
  complete "${NODE[1]}" summary "warm $i" -H 'X-Deadline-Ms: 15000' | jq -e '.choices[0].text' >/dev/null || fail "warm-up request $i"
done
fault "${ENGINE[1]}" '{"silence": true}'
for i in 1 2 3 4; do
  complete "${NODE[1]}" summary "silent $i" -H 'X-Deadline-Ms: 6000' >"$RUN/answer"
  jq -e '.choices[0].text' "$RUN/answer" >/dev/null || fail "request $i was not served: $(cat "$RUN/answer")"
done
exit 0
