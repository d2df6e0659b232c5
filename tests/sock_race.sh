#!/bin/bash
# Concurrent edits of one configuration section: exactly one succeeds, the others
# get a conflict.  The edit takes effect on every node, including one that was
# paused, and no node returns to an older version.
set -u
. scripts/lib.sh
bring_up 3 1 1

edit() { # edit NODE-ADDRESS BASE WEIGHT: prints the status
  local section
  section=$(jq -c --argjson w "$3" '.sections.shop | .cold_weight = $w' "$DOCUMENT")
  admin "$1" "/admin/config/shop?version=$2" -X PUT --data-binary "$section" -o /dev/null -w '%{http_code}\n'
}
version_of() { admin "$1" /admin/config/shop | jq .version; }

kill -STOP "$(pid_of node-3)"
for round in 1 2 3 4 5; do
  base=$(version_of "${NODE[1]}")
  until_true sh -c "[ \"\$(curl -s -H 'Authorization: Bearer $OPERATOR_TOKEN' http://${NODE[2]}/admin/config/shop | jq .version)\" = $base ]"
  pids=()
  for i in 1 2; do
    edit "${NODE[i]}" "$base" "0.$round$i" >"$RUN/race.$i" &
    pids+=($!)
  done
  wait "${pids[@]}"
  [ "$(sort "$RUN"/race.* | tr '\n' ' ')" = "200 409 " ] || fail "round $round: expected statuses 200 and 409, got $(cat "$RUN"/race.*)"
  until_true sh -c "[ \"\$(curl -s -H 'Authorization: Bearer $OPERATOR_TOKEN' http://${NODE[1]}/admin/config/shop | jq .version)\" -gt $base ]"
done
kill -CONT "$(pid_of node-3)"
last=$(version_of "${NODE[1]}")
for i in 1 2 3; do until_true in_force "${NODE[i]}" "$last"; done
[ "$(version_of "${NODE[3]}")" = "$last" ] || fail "node-3 has $(version_of "${NODE[3]}"), not $last"
for i in 1 2 3; do
  sed -n 's/.*name=CONFIG_IN_FORCE.* version=\([0-9]*\).*/\1/p' "$RUN/node-$i.log" | sort -n -C ||
    fail "node-$i returned to an older version: $(grep CONFIG_IN_FORCE "$RUN/node-$i.log")"
done

# a section that makes the document invalid is refused
status=$(admin "${NODE[1]}" "/admin/config/shop?version=$last" -X PUT -o "$RUN/bad" -w '%{http_code}' \
  --data '{"models":{"proposal":{"pool":"no-such-pool","version":"1","memory_mb":1,"max_replicas":1}}}')
[ "$status" = 422 ] || fail "an invalid section was not refused: status $status $(cat "$RUN/bad")"
exit 0
