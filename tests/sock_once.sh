#!/bin/bash
# A non-idempotent request runs at most once: when it is sent to all nodes
# concurrently with one key while the table loses responses of committed
# transactions, and when it is sent again after the node that ran it was killed.
set -u
. scripts/lib.sh
bring_up 3 1 2

order() { # order NODE-ADDRESS KEY BODY
  curl -s -m 20 -o /dev/null -w '%{http_code}\n' -X POST -H "Idempotency-Key: $2" \
    -H 'X-Deadline-Ms: 4000' "http://$1/v1/services/ledger/work-orders" -d "$3"
}

for round in 1 2 3 4; do
  fault "$PLATFORM" '{"lose_answers": 2, "lose_path": "/v1/table/txn"}'
  pids=()
  for i in 1 2 3; do
    order "${NODE[i]}" "order-$round" '{"flush": 12}' >"$RUN/status.$round.$i" &
    pids+=($!)
  done
  wait "${pids[@]}"
  [ "$(ran "order-$round")" -le 1 ] || fail "order-$round ran $(ran "order-$round") times"
  cat "$RUN"/status."$round".* | grep -q '^200' || fail "order-$round: no caller received the answer: $(cat "$RUN"/status."$round".*)"
done
fault "$PLATFORM" '{"lose_answers": 0}'

# the same key with another body is refused
[ "$(order "${NODE[2]}" order-1 '{"flush": 99}')" = 422 ] || fail "a key was accepted with another body"

# the node that owns the record is killed while the order runs
fault "${SERVICE[1]}" '{"delay_ms": 1500}'
fault "${SERVICE[2]}" '{"delay_ms": 1500}'
order "${NODE[1]}" order-kill '{"flush": 13}' >/dev/null &
first=$!
until_true sh -c "[ $(ran order-kill) -ge 0 ] && grep -q 'REQUEST_ROUTED.*target=ledger' $RUN/node-1.log"
kill -KILL "$(pid_of node-1)"
wait $first
for i in 2 3; do
  status=$(order "${NODE[i]}" order-kill '{"flush": 13}')
  case $status in
    409 | 503 | 504) ;; # outcome unknown, or no verdict by the deadline
    *) fail "sent again to node $i after the kill: status $status" ;;
  esac
done
[ "$(ran order-kill)" -le 1 ] || fail "order-kill ran $(ran order-kill) times"

# while the table is unavailable, requests are refused as not run
fault "$PLATFORM" '{"outage": "refuse"}'
status=$(order "${NODE[2]}" order-down '{"flush": 14}')
[ "$status" = 503 ] || fail "table unavailable: status $status, not 503"
[ "$(ran order-down)" = 0 ] || fail "order-down was refused as not run, but ran"
exit 0
