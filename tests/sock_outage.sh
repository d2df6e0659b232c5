#!/bin/bash
# The platform hangs, then refuses connections. Loaded models are served all the
# time; a cold model is still loaded on engines that check fencing tokens; a node
# that starts gets the configuration from its peers. Checkpoints are on the
# engines' disks, because the weight store belongs to the platform as well.
set -u
. scripts/lib.sh
no_loading_ahead
bring_up 3 3 1 --on-disk '*'
complete "${NODE[1]}" summary "before" -H 'X-Deadline-Ms: 15000' | jq -e '.choices[0].text' >/dev/null || fail "request before the outage"

for kind in hang refuse; do
  fault "$PLATFORM" "{\"outage\": \"$kind\"}"
  for i in 1 2 3; do
    complete "${NODE[i]}" summary "during $kind" -H 'X-Deadline-Ms: 5000' | jq -e '.choices[0].text' >/dev/null ||
      fail "request for a loaded model failed at node $i, platform outage \"$kind\""
  done
done
expect_cold proposal
complete "${NODE[2]}" proposal "cold" -H 'X-Deadline-Ms: 20000' >"$RUN/cold"
jq -e '.choices[0].text' "$RUN/cold" >/dev/null || fail "cold model was not loaded during the outage: $(cat "$RUN/cold")"

seed=$(admin "${NODE[1]}" /admin/peer | jq -r .peer)
start_node node-9 zone-1 --seeds "$seed"
started=$(node_address node-9)
until_true in_force "$started" 2
fault "$PLATFORM" '{"outage": ""}'
complete "$started" summary "late node" -H 'X-Deadline-Ms: 10000' | jq -e '.choices[0].text' >/dev/null || fail "request at the node started during the outage"
check_engines
exit 0
