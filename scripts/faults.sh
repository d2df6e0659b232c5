#!/bin/bash
# Measures what clients see while a fault is injected. Prints a row for each
# fault given, or for all without arguments; A+B injects two faults at once.
# Each row is a separate run with three nodes, three engines, two plain services
# and the platform. Variables: FAULT_REQUESTS (default 1200), FAULT_LOGS (where
# to copy the logs).
set -u
cd "$(dirname "$0")/.." || exit 1

ALL="none engine-crash engine-silent service-silent engine-cut table-down \
table-slow table-loses node-killed node-paused node-stopped engine-leaving \
table-loses+node-killed engine-crash+table-slow poison"

# run_fault FAULT: runs in a process of its own, since lib.sh sets traps
run_fault() {
  . scripts/lib.sh
  start_platform
  entries=()
  backends=()
  for i in 1 2 3; do
    start_engine "engine-$i" "zone-$i" drafting-models --load-ms 100 --token-ms 4 --slots 32
    start_node "node-$i" "zone-$i"
    entries+=("$(instance "engine-$i" "$(standin_address "engine-$i")" "zone-$i" drafting-models)")
    entries+=("$(instance "node-$i" "$(node_address "node-$i")" "zone-$i" entry)")
    backends+=("$(standin_address "engine-$i")")
  done
  for i in 1 2; do
    start_service "ledger-$i" "zone-$i" ledger-app
    entries+=("$(instance "ledger-$i" "$(standin_address "ledger-$i")" "zone-$i" ledger-app)")
    backends+=("$(standin_address "ledger-$i")")
  done
  list_instances "${entries[@]}"
  node=$(node_address node-1)
  put_document "$node" docs/examples/demo.json
  for i in 1 2 3; do until_true in_force "$(node_address "node-$i")" 2; done
  for model in summary order-writer; do
    until_true curl -sf -o /dev/null "http://$node/v1/completions" \
      -d "{\"model\":\"$model\",\"prompt\":\"warm\",\"max_tokens\":1}"
  done
  nodes=$(node_address node-1),$(node_address node-2),$(node_address node-3)
  mkfifo "$RUN/driver.out"
  "$BUILD/parsley-bench" faults --nodes "$nodes" --ran "$(IFS=,; echo "${backends[*]}")" \
    --requests "${FAULT_REQUESTS:-1200}" >"$RUN/driver.out" &
  driver=$!
  exec 9<"$RUN/driver.out"
  read -r _ <&9 # half of the requests are sent
  for fault in ${1//+/ }; do inject "$fault"; done
  read -r row <&9
  wait $driver
  driver_status=$?
  retries=0
  engines_lost=0
  for i in 1 2 3; do kill -0 "$(pid_of "engine-$i")" 2>/dev/null || engines_lost=$((engines_lost + 1)); done
  for i in 1 2 3; do
    n=$(curl -s "http://$(node_address "node-$i")/metrics" | sed -n 's/^parsley_retries_total //p')
    retries=$((retries + ${n:-0}))
  done
  printf '%-26s %s retries=%s engines_lost=%s\n' "$1" "$row" "$retries" "$engines_lost"
  [ -n "${FAULT_LOGS:-}" ] && cp "$RUN"/*.log "$FAULT_LOGS"
  exit $driver_status
}

engine_of() { # engine_of MODEL: name of an engine on which it is loaded
  admin "$node" /admin/status | jq -r --arg m "$1" '[.engines[] | select(.models | index($m)) | .id][0]'
}

unlist_dead_engines() { # removes them from the platform's instance list
  local i remaining=("${entries[@]}")
  for i in 1 2 3; do
    kill -0 "$(pid_of "engine-$i")" 2>/dev/null && continue
    mapfile -t remaining < <(printf '%s\n' "${remaining[@]}" | grep -v "\"engine-$i\"")
  done
  list_instances "${remaining[@]}"
}

send_poison() { # three requests that crash engines, to each node
  local i n
  for n in 1 2 3; do
    for i in 1 2 3; do
      curl -s -o /dev/null "http://$(node_address "node-$i")/v1/completions" \
        -H 'X-Deadline-Ms: 2000' 9<&- \
        -d '{"model":"summary","prompt":"POISON","max_tokens":4}' &
    done
  done
}

inject() {
  case $1 in
    none) ;;
    engine-crash)
      kill -KILL "$(pid_of "$(engine_of summary)")"
      sleep 1
      unlist_dead_engines
      ;;
    engine-silent) fault "$(standin_address "$(engine_of summary)")" '{"silence":true}' ;;
    service-silent) fault "$(standin_address ledger-1)" '{"silence":true}' ;;
    engine-cut) fault "$(standin_address "$(engine_of summary)")" '{"lose_answers":40,"lose_path":"/v1/"}' ;;
    table-down) fault "$PLATFORM" '{"outage":"refuse"}' ;;
    table-slow) fault "$PLATFORM" '{"slow_ms":800}' ;;
    table-loses) fault "$PLATFORM" '{"lose_answers":60,"lose_path":"/v1/table"}' ;;
    node-killed) kill -KILL "$(pid_of node-2)" ;;
    node-paused) kill -STOP "$(pid_of node-2)"; sleep 2; kill -CONT "$(pid_of node-2)" ;;
    node-stopped) kill -TERM "$(pid_of node-2)" ;;
    poison)
      for i in 1 2 3; do
        fault "$(standin_address "engine-$i")" '{"crash_marker":"POISON"}'
      done
      for _ in 1 2 3; do
        send_poison
        sleep 1
        unlist_dead_engines
      done
      send_poison
      ;;
    engine-leaving) fault "$(standin_address "$(engine_of summary)")" '{"leaving":true}' ;;
    *) fail "unknown fault: $1" ;;
  esac
}

if [ "${1:-}" = --one ]; then run_fault "$2"; fi
status=0
for fault in ${*:-$ALL}; do
  bash "$0" --one "$fault" 2>&1 || status=1
done
exit $status
