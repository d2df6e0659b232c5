#!/bin/bash
# The platform hangs, then refuses connections. Loaded models are served all the
# time; a cold model is still loaded on engines that check fencing tokens; a node
# that starts gets the configuration from its peers. Checkpoints are on the
# engines' disks, because the weight store belongs to the platform as well.
set -u
. scripts/lib.sh
no_loading_ahead
bring_up 3 3 1 --on-disk '*'
complete "${NODE[1]}" summary "before" -H 'X-Deadline-Ms: 15000' | jq -e '.choices[0].text' >/dev/null || fail "before"

for kind in hang refuse; do
  fault "$PLATFORM" "{\"outage\": \"$kind\"}"
  for i in 1 2 3; do
    complete "${NODE[i]}" summary "during $kind" -H 'X-Deadline-Ms: 5000' | jq -e '.choices[0].text' >/dev/null ||
      fail "loaded model, platform $kind, node $i"
  done
done
expect_cold proposal
complete "${NODE[2]}" proposal "cold" -H 'X-Deadline-Ms: 20000' >"$RUN/cold"
jq -e '.choices[0].text' "$RUN/cold" >/dev/null || fail "cold model in an outage: $(cat "$RUN/cold")"

seed=$(admin "${NODE[1]}" /admin/peer | jq -r .peer)
start_node node-9 zone-1 --seeds "$seed"
late=$(node_address node-9)
until_true in_force "$late" 2
fault "$PLATFORM" '{"outage": ""}'
complete "$late" summary "late node" -H 'X-Deadline-Ms: 10000' | jq -e '.choices[0].text' >/dev/null || fail "late node"
check_engines
exit 0
