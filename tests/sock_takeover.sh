#!/bin/bash
# Failover of placement: the leaseholder of a cell is killed during a load, then
# the next one is paused with SIGSTOP and resumed. Waiting requests must be
# answered, no model may be loaded twice and no memory overcommitted.
# PLAIN=1: with engines that do not check the fencing token.
set -u
. scripts/lib.sh
no_loading_ahead
options=(--load-ms 700)
if [ -n "${PLAIN:-}" ]; then
  jq '.sections[].pools[]?.checks_fence = false' "$DOCUMENT" >"$RUN/plain.json"
  DOCUMENT=$RUN/plain.json
  options+=(--ignore-fence)
fi
bring_up 4 3 1 "${options[@]}"

other_than() { # an address of a node that is not NAME and not DEAD
  local i
  for i in "${!NODE[@]}"; do
    [ "node-$i" = "$1" ] || [ "node-$i" = "${DEAD:-}" ] || { echo "${NODE[i]}"; return; }
  done
}

# the leaseholder is killed during a load
first=$(decider)
node=$(other_than "$first")
complete "$node" summary "during a kill" -H 'X-Deadline-Ms: 25000' >"$RUN/kill" &
request=$!
until_true grep -q 'name=PLACE_LOAD .*model=summary' "$RUN/$first.log"
kill -KILL "$(pid_of "$first")"
DEAD=$first
unset "NODE[${first#node-}]"
wait $request
[ "$(jq -r '.choices[0].text | length > 0' "$RUN/kill")" = true ] || fail "kill: $(cat "$RUN/kill")"
[ "$(replicas summary)" -le 1 ] || fail "summary on $(replicas summary) engines"
check_engines

# the leaseholder is paused and resumed after another node has taken over
until_true a_node_decides
second=$(decider)
expect_cold proposal
kill -STOP "$(pid_of "$second")"
node=$(other_than "$second")
complete "$node" proposal "during a stop" -H 'X-Deadline-Ms: 25000' >"$RUN/stop"
[ "$(jq -r '.choices[0].text | length > 0' "$RUN/stop")" = true ] || fail "stop: $(cat "$RUN/stop")"
kill -CONT "$(pid_of "$second")"
until_true grep -q 'name=LEASE_LOST' "$RUN/$second.log"
[ "$(replicas proposal)" -le 1 ] || fail "proposal on $(replicas proposal) engines"
check_engines
exit 0
