#!/bin/bash
# A request that crashes every engine that runs it must not take down the pool:
# sent repeatedly and to all nodes concurrently, it costs at most two engines, and
# other requests are still served.
set -u
. scripts/lib.sh
bring_up 3 4 1
for a in "${ENGINE[@]}"; do fault "$a" '{"crash_marker": "poison-pill"}'; done
complete "${NODE[1]}" summary warm -H 'X-Deadline-Ms: 15000' | jq -e '.choices[0].text' >/dev/null || fail "warm-up request"

for round in 1 2 3; do
  pids=()
  for i in 1 2 3; do
    complete "${NODE[i]}" summary "poison-pill" -H 'X-Deadline-Ms: 4000' >"$RUN/poison.$i" &
    pids+=($!)
  done
  wait "${pids[@]}"
done
lost=0
for i in 1 2 3 4; do kill -0 "$(pid_of "engine-$i")" 2>/dev/null || lost=$((lost + 1)); done
[ "$lost" -le 2 ] || fail "one request crashed $lost engines, more than 2"
[ "$lost" -ge 1 ] || fail "the request did not crash any engine, so the limit was not tested"
complete "${NODE[2]}" summary "harmless" -H 'X-Deadline-Ms: 20000' >"$RUN/after"
jq -e '.choices[0].text' "$RUN/after" >/dev/null || fail "a harmless request was not served: $(cat "$RUN/after")"
exit 0
