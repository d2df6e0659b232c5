#!/bin/bash
# End-to-end demo: starts stand-ins and three nodes on loopback, applies a
# configuration document and sends a streaming request for a model that is not
# loaded. Fails unless the answer is byte for byte that of the engine.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

MODEL=summary
PROMPT='Summarize the flow tests of district 7 for the inspector.'

start_ns=$(date +%s%N)
elapsed_ms() { echo $((($(date +%s%N) - start_ns) / 1000000)); }
log_step() { printf '%6d ms  %s\n' "$(elapsed_ms)" "$*"; }

bring_up 3 3 1 --load-ms 300
node=${NODE[1]}
log_step "3 nodes, 3 engines, 1 plain service and the platform are running with $DOCUMENT"
entry=$(curl -sf "http://$node/v1/entry?model=$MODEL") || fail "GET /v1/entry?model=$MODEL failed"
log_step "GET /v1/entry?model=$MODEL -> $entry"

body=$(jq -nc --arg m "$MODEL" --arg p "$PROMPT" '{model: $m, prompt: $p, max_tokens: 24, stream: true}')
address=$(jq -r ".addresses[0]" <<<"$entry")
log_step "streaming request for $MODEL, which is not loaded, to $address"
curl -sN -H 'X-Deadline-Ms: 10000' -w '%{stderr}%{http_code} %{time_starttransfer} %{time_total}\n' \
  "http://$address/v1/completions" -d "$body" >"$RUN/answer" 2>"$RUN/times"
read -r status first total <"$RUN/times"
[ "$status" = 200 ] || fail "status $status: $(cat "$RUN/answer")"
log_step "first token after ${first} s, complete answer after ${total} s"

engine=$(admin "$node" /admin/status | jq -r --arg m "$MODEL" '[.engines[] | select(.models | index($m)) | .address][0]')
curl -sN "http://$engine/v1/completions" -d "$body" >"$RUN/direct"
cmp "$RUN/answer" "$RUN/direct" || fail "the answer differs from that of the engine"
log_step "the answer is identical to that of the engine: $(wc -c <"$RUN/answer") bytes"

echo; echo "Answer:"
sed -n 's/^data: //p' "$RUN/answer" | grep -v DONE | jq -rj '.choices[0].text' ; echo
echo; echo "Logged decisions:"
cat "$RUN"/node-*.log | grep -hE 'name=(LEASE_WON|PLACE_[A-Z]+|REQUEST_[A-Z]+|CONFIG_IN_FORCE)' | sort | cut -c12-

echo
for i in 1 2 3; do kill -TERM "$(pid_of "node-$i")"; done
for i in 1 2 3; do wait "$(pid_of "node-$i")" || fail "node-$i exited with $?"; done
log_step "3 nodes shut down gracefully"
