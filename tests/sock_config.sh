#!/bin/bash
# Edits the configuration with parsleyctl on running nodes: versions, conflicting
# edits, findings, history, a table that refuses transactions, and a response
# that is lost after the commit.
set -u
. scripts/lib.sh

# expect CODE NODE ARGUMENTS...: runs parsleyctl and checks its exit status.
expect() {
  local code=$1 node=$2 got
  shift 2
  ctl "$node" "$@" >"$RUN/out" 2>"$RUN/err"
  got=$?
  [ "$got" = "$code" ] || fail "parsleyctl $*: exit $got, not $code: $(cat "$RUN/out" "$RUN/err")"
}

version_of() { ctl "$1" config get "$2" 2>/dev/null | jq .version; }
section_is() { [ "$(ctl "$1" config get "$2" 2>/dev/null | jq -c "$3")" = "$4" ]; }

start_platform
for i in 1 2; do start_node "node-$i" "zone-$i"; done
a=$(node_address node-1)
b=$(node_address node-2)
list_instances "$(instance node-1 "$a" zone-1 entry)" "$(instance node-2 "$b" zone-2 entry)"

for team in town shop; do
  jq ".sections.$team" docs/examples/demo.json >"$RUN/$team.json"
  until_true ctl "$a" config put "$team" "$RUN/$team.json" --version 0
done
[ -s "$RUN/out" ] && fail "put printed output: $(cat "$RUN/out")"
until_true section_is "$b" shop .section.cold_weight 0.2

# Of two edits based on the same version, the second is a conflict.
version=$(version_of "$b" shop)
ctl "$a" config get shop >"$RUN/edit.json"
jq '.section.cold_weight = 0.3' "$RUN/edit.json" >"$RUN/first.json"
jq '.section.cold_weight = 0.4' "$RUN/edit.json" >"$RUN/second.json"
expect 0 "$a" config put shop "$RUN/first.json"
[ -s "$RUN/out" ] || [ -s "$RUN/err" ] && fail "an accepted edit printed output: $(cat "$RUN/out" "$RUN/err")"
expect 1 "$b" config put shop "$RUN/second.json"
jq -e '.[0] == {"place": "/cold_weight", "was": 0.3, "now": 0.4}' "$RUN/out" >/dev/null \
  || fail "the conflict does not show what changed: $(cat "$RUN/out")"
until_true section_is "$b" shop .section.cold_weight 0.3
expect 1 "$a" config diff shop "$RUN/second.json"
expect 0 "$a" config diff shop "$RUN/first.json"

# An edit is rejected if it makes the document as a whole invalid.
echo '{"models": {"m": {"pool": "nowhere", "version": "1", "memory_mb": 1}}}' >"$RUN/bad.json"
expect 1 "$a" config put shop "$RUN/bad.json" --version "$(version_of "$a" shop)"
grep -q '/sections/shop/models/m/pool: pool nowhere does not exist' "$RUN/err" || fail "missing finding about the pool: $(cat "$RUN/err")"

expect 0 "$a" config history
[ "$(jq '.history | length' "$RUN/out")" = 3 ] || fail "history: $(cat "$RUN/out")"

# The table refuses the transaction: the edit fails and changes nothing.
fault "$PLATFORM" '{"outage":"refuse"}'
expect 4 "$a" config put shop "$RUN/second.json" --version "$(version_of "$a" shop)"
fault "$PLATFORM" '{"outage":""}'
section_is "$a" shop .section.cold_weight 0.3 || fail "the section changed although the table refused the transaction"

# The response to a committed transaction is lost: the node finds out that the
# edit was accepted.
fault "$PLATFORM" '{"lose_answers":1,"lose_path":"/v1/table/txn"}'
version=$(version_of "$a" shop)
until_true ctl "$a" config put shop "$RUN/second.json" --version "$version"
until_true section_is "$b" shop .section.cold_weight 0.4

# A removed section disappears on all nodes.
echo null >"$RUN/null.json"
expect 0 "$a" config put shop "$RUN/null.json" --version "$(version_of "$a" shop)"
until_true sh -c "! $BUILD/parsleyctl --node $b --operator-token $OPERATOR_TOKEN config get shop"

expect 0 "$a" status
expect 0 "$a" explain --model summary
expect 4 "$a" config get nobody
expect 0 "$a" entry summary
"$BUILD/parsleyctl" --node "$a" --operator-token wrong status >/dev/null 2>&1
[ $? = 4 ] || fail "a wrong token is not refused"
expect 0 "$a" drain
wait "$(pid_of node-1)" || fail "node-1 did not stop cleanly"
exit 0
