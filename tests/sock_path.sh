#!/bin/bash
# End to end, at each node: a cold request, an adapter, a plain service and a lookup.
set -u
. scripts/lib.sh
bring_up 3 3 1

for i in 1 2 3; do
  complete "${NODE[i]}" summary "from node $i" -H 'X-Deadline-Ms: 15000' >"$RUN/a$i"
  [ "$(jq -r '.choices[0].text | length > 0' "$RUN/a$i")" = true ] || fail "node $i: $(cat "$RUN/a$i")"
done
[ "$(replicas summary)" = 1 ] || fail "summary is on $(replicas summary) engines"

holder=$(admin "${NODE[1]}" /admin/status | jq -r '[.engines[] | select(.models | index("summary")) | .address][0]')
for i in 1 2 3; do
  complete "$holder" summary "from node $i" >"$RUN/d$i"
  cmp <(jq -c .choices "$RUN/a$i") <(jq -c .choices "$RUN/d$i") || fail "answer $i differs from the engine's"
done

complete "${NODE[2]}" summary-erie "an adapter" -H 'X-Deadline-Ms: 15000' >"$RUN/adapter"
[ "$(jq -r '.model' "$RUN/adapter")" = summary-erie ] || fail "adapter: $(cat "$RUN/adapter")"

[ "$(curl -s -o /dev/null -w '%{http_code}' "http://${NODE[3]}/v1/services/ledger/hydrants/7")" = 200 ] ||
  fail "request to a plain service did not return 200"
[ "$(curl -s "http://${NODE[1]}/v1/entry?model=summary" | jq '.addresses | length > 0 and . != null')" = true ] ||
  fail "entry lookup returned no addresses"
check_engines
exit 0
