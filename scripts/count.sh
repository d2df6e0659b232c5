#!/bin/sh
# Counts the lines of the product and of the tests, and the share of the modules
# for routing, limits, retries, membership, state and recovery.
cd "$(dirname "$0")/.." || exit 1
count() { cat "$@" | wc -l; }
product=$(count src/* daemons/*.c standins/* bench/*.[ch])
tests=$(find tests -type f ! -path '*/corpus/*' -print0 | xargs -0 cat | wc -l)
core=$(count src/admit* src/attempt* src/backoff* src/batch* src/budget* src/call_route* \
  src/cell* src/conf* src/deadlines* src/eject* src/fleet* src/gossip* src/intent* \
  src/lease* src/links* src/lookup* src/member* src/order* src/pick* src/place* src/reach* \
  src/record* src/retry* src/route* src/replica_sync* src/planner* src/demand* src/suspect* src/table*)
echo "product $product lines, tests $tests: $((100 * tests / product)) per 100"
echo "routing, limits, retries, membership, state, recovery: $core lines, $((100 * core / product)) % of the product"
