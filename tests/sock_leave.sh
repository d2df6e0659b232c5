#!/bin/bash
# Graceful shutdowns abort no request: a node finishes its streams while it
# drains; an engine that is leaving gets no new requests and finishes its streams.
set -u
. scripts/lib.sh
bring_up 3 2 1 --token-ms 40

stream() { # stream NODE-ADDRESS PROMPT FILE: 60 tokens, takes some seconds
  curl -sN -m 30 "http://$1/v1/completions" -H 'X-Deadline-Ms: 20000' \
    -d "{\"model\":\"summary\",\"prompt\":\"$2\",\"max_tokens\":60,\"stream\":true}" >"$3"
}
is_complete() { [ "$(grep -c '^data: {' "$1")" = 60 ] && tail -n 2 "$1" | grep -q 'DONE'; }

complete "${NODE[1]}" summary warm -H 'X-Deadline-Ms: 15000' >/dev/null

# a node that drains
stream "${NODE[1]}" "drained" "$RUN/node" &
request=$!
until_true grep -q '^data: {' "$RUN/node"
kill -TERM "$(pid_of node-1)"
until_true sh -c "! curl -s 'http://${NODE[2]}/v1/entry?model=summary' | grep -q '${NODE[1]}\"'"
wait $request
is_complete "$RUN/node" || fail "the stream through a draining node was aborted: $(tail -c 200 "$RUN/node")"
wait "$(pid_of node-1)" || fail "node-1 exited with $?"
unset 'NODE[1]'

# an engine that is leaving
holder=$(admin "${NODE[2]}" /admin/status | jq -r '[.engines[] | select(.models | index("summary")) | .id][0]')
stream "${NODE[2]}" "leaving" "$RUN/engine" &
request=$!
until_true grep -q '^data: {' "$RUN/engine"
LEAVING=$holder
tell_instances
until_true sh -c "curl -s -H 'Authorization: Bearer $OPERATOR_TOKEN' http://${NODE[3]}/admin/status |
  jq -e '.engines[] | select(.id == \"$holder\") | .leaving'"
before=$(grep -c "name=REQUEST_ROUTED.* engine=$holder" "$RUN/node-3.log")
complete "${NODE[3]}" summary "after leaving" -H 'X-Deadline-Ms: 15000' >"$RUN/after"
jq -e '.choices[0].text' "$RUN/after" >/dev/null || fail "request while an engine leaves: $(cat "$RUN/after")"
[ "$(grep -c "name=REQUEST_ROUTED.* engine=$holder" "$RUN/node-3.log")" = "$before" ] ||
  fail "a leaving engine got a new request"
wait $request
is_complete "$RUN/engine" || fail "the stream of a leaving engine was aborted"
exit 0
