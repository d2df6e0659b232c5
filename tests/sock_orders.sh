#!/bin/bash
# Idempotency keys: work orders are sent to two nodes at once and again
# afterwards, while responses of the table and of the service are lost. No order
# may run twice, one answered with not_run must not have run, and one answered
# with 200 must have run.
set -u
. scripts/lib.sh

ORDERS=40

start_platform
start_service ledger-1 zone-1 ledger-app
for i in 1 2; do start_node "node-$i" "zone-$i"; done
a=$(node_address node-1)
b=$(node_address node-2)
service=$(standin_address ledger-1)
list_instances "$(instance node-1 "$a" zone-1 entry)" "$(instance node-2 "$b" zone-2 entry)" \
  "$(instance ledger-1 "$service" zone-1 ledger-app)"
put_document "$a" docs/examples/demo.json
for node in "$a" "$b"; do
  until_true in_force "$node" 2
  until_true curl -sf "http://$node/v1/services/ledger/ready"
done

# order NODE N: "N STATUS NOT_RUN", STATUS 000 when no answer came
order() {
  local out status
  out=$(curl -s -m 20 -w '\n%{http_code}' -H "Idempotency-Key: order-$2" -H 'X-Deadline-Ms: 8000' \
    "http://$1/v1/services/ledger/work-orders" -d "{\"marker\":\"order-$2\",\"hydrant\":$2}")
  status=${out##*$'\n'}
  echo "$2 $status $(jq -r '.error.not_run // false' <<<"${out%$'\n'*}" 2>/dev/null)"
}

fault "$PLATFORM" '{"lose_answers":12,"lose_path":"/v1/table/txn"}'
fault "$service" '{"lose_answers":5,"lose_path":"/work-orders"}'
jobs=()
for n in $(seq $ORDERS); do
  order "$a" "$n" >"$RUN/a-$n" & jobs+=($!)
  order "$b" "$n" >"$RUN/b-$n" & jobs+=($!)
done
wait "${jobs[@]}"
for n in $(seq $ORDERS); do order "$b" "$n"; done >"$RUN/again"

curl -sf "http://$service/ran" >"$RUN/ran"
cat "$RUN"/a-[0-9]* "$RUN"/b-[0-9]* "$RUN/again" >"$RUN/all"
echo "answers: $(cut -d' ' -f2- "$RUN/all" | sort | uniq -c | tr '\n' ';')"

jq -e '[.ran[]] | max == 1' "$RUN/ran" >/dev/null || fail "ran twice: $(jq -c '.ran | with_entries(select(.value > 1))' "$RUN/ran")"
for n in $(seq $ORDERS); do
  ran=$(jq ".ran[\"order-$n\"] // 0" "$RUN/ran")
  if [ "$ran" = 0 ] && grep -q "^$n 200 " "$RUN/all"; then fail "order $n answered 200 and did not run"; fi
  if [ "$ran" = 1 ] && ! grep "^$n " "$RUN/all" | grep -qv ' true$'; then
    fail "order $n ran and every answer says that it did not"
  fi
done
[ "$(grep -c '^[0-9]* 200 ' "$RUN/again")" -ge $((ORDERS / 2)) ] || fail "few orders got through: $(cat "$RUN/again")"
exit 0
