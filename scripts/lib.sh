# Shell functions for the demo and the socket tests: start programs on ports
# chosen by the kernel, wait for their output, stop them by process id. To be
# sourced by bash. BUILD is the directory of the programs.

: "${BUILD:=build}"
RUN=$(mktemp -d)
PROGRAMS=() # names of the programs launched
OPERATOR_TOKEN=operator-secret
PEER_TOKEN=peer-secret-1
POLL_ATTEMPTS=1000 # of 20 ms each; a program that hangs must fail the test
trap 'exit 1' TERM

fail() {
  echo "$*" >&2
  for f in "$RUN"/*.log; do
    [ -s "$f" ] && { echo "--- $(basename "$f")"; tail -n 15 "$f"; } >&2
  done
  kill -TERM $$ # 'exit' alone would end only a command substitution
  exit 1
}

# launch NAME COMMAND...: runs COMMAND in the background, with stdout to
# $RUN/NAME.out, stderr to $RUN/NAME.log and the process id to $RUN/NAME.pid
launch() {
  local name=$1
  shift
  [ -x "$1" ] || fail "not built: $1"
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  echo $! >"$RUN/$name.pid"
  PROGRAMS+=("$name")
}

pid_of() { cat "$RUN/$1.pid"; }

# until_true COMMAND...: repeats COMMAND until it succeeds
until_true() {
  local attempts=0
  until "$@" >/dev/null 2>&1; do
    attempts=$((attempts + 1))
    [ $attempts -lt $POLL_ATTEMPTS ] || fail "timed out waiting for: $*"
    sleep 0.02
  done
}

# standin_address NAME, node_address NAME: waits until it listens and prints its
# address
standin_address() {
  until_true grep -q '^listening ' "$RUN/$1.out"
  sed -n 's/^listening //p' "$RUN/$1.out" | head -n 1
}

node_address() {
  until_true grep -q 'name=STARTED' "$RUN/$1.log"
  sed -n 's/.*name=STARTED.* listen=\([^ ]*\).*/\1/p' "$RUN/$1.log" | head -n 1
}

# start_platform [OPTION...]: sets PLATFORM to its address
start_platform() {
  launch platform "$BUILD/parsley-standin" platform --listen 127.0.0.1:0 "$@"
  PLATFORM=$(standin_address platform)
}

# start_engine ID ZONE POOL [OPTION...]
start_engine() {
  local id=$1 zone=$2 pool=$3
  shift 3
  launch "$id" "$BUILD/parsley-standin" engine --listen 127.0.0.1:0 \
    --platform "$PLATFORM" --id "$id" --zone "$zone" --pool "$pool" "$@"
}

# start_service ID ZONE POOL [OPTION...]
start_service() {
  local id=$1 zone=$2 pool=$3
  shift 3
  launch "$id" "$BUILD/parsley-standin" service --listen 127.0.0.1:0 \
    --id "$id" --zone "$zone" --pool "$pool" "$@"
}

# start_node ID ZONE [OPTION...]
start_node() {
  local id=$1 zone=$2
  shift 2
  launch "$id" "$BUILD/parsleyd" --node "$id" --region demo --zone "$zone" \
    --platform "$PLATFORM" --peer-token "$PEER_TOKEN" \
    --operator-token "$OPERATOR_TOKEN" --threads 2 --entry-ttl 1 "$@"
}

# instance ID ADDRESS ZONE POOL [LEAVING]: prints an entry of the instance list
instance() {
  printf '{"id":"%s","address":"%s","zone":"%s","region":"demo","pool":"%s","leaving":%s}' \
    "$1" "$2" "$3" "$4" "${5:-false}"
}

# list_instances ENTRY...: sets the instance list of the platform stand-in
list_instances() {
  local body
  body=$(printf '%s,' "$@")
  curl -sf -X POST "http://$PLATFORM/instances" \
    -d "{\"instances\":[${body%,}]}" >/dev/null || fail "cannot set the instance list"
}

# fault ADDRESS JSON: injects faults into a stand-in
fault() { curl -sf -X POST "http://$1/faults" -d "$2" >/dev/null || fail "cannot inject fault $2 at $1"; }

ctl() { # ctl NODE-ADDRESS ARGUMENT...: runs parsleyctl
  local node=$1
  shift
  "$BUILD/parsleyctl" --node "$node" --operator-token "$OPERATOR_TOKEN" "$@"
}

admin() { # admin NODE-ADDRESS PATH [CURL-OPTION...]: request to the admin API
  local node=$1 path=$2
  shift 2
  curl -s -H "Authorization: Bearer $OPERATOR_TOKEN" "$@" "http://$node$path"
}

# put_document NODE-ADDRESS FILE: uploads each section of the configuration
# document, whose keys are the names of the teams
put_document() {
  local node=$1 file=$2 team
  for team in $(jq -r '.sections | keys_unsorted[]' "$file"); do
    jq -c ".sections[\"$team\"]" "$file" >"$RUN/section.json"
    until_true put_section "$node" "$team" "$RUN/section.json"
  done
}

# put_section NODE-ADDRESS TEAM FILE: succeeds when the node accepts the section
put_section() {
  [ "$(admin "$1" "/admin/config/$2?version=0" -X PUT --data-binary "@$3" \
    -o /dev/null -w '%{http_code}')" = 200 ]
}

# in_force NODE-ADDRESS VERSION: the node applies configuration VERSION or later
in_force() {
  [ "$(admin "$1" /admin/config | jq .version)" -ge "$2" ]
}

# Pools and configuration document of bring_up
ENGINE_POOL=drafting-models
SERVICE_POOL=ledger-app
DOCUMENT=docs/examples/demo.json

# Sets cold_weight to 0 in DOCUMENT: no model is loaded before it is requested.
no_loading_ahead() {
  jq '.sections[].cold_weight = 0' "$DOCUMENT" >"$RUN/document.json"
  DOCUMENT=$RUN/document.json
}

# expect_cold MODEL: fails when it is loaded, since the test would not cover a
# cold start
expect_cold() { [ "$(replicas "$1")" = 0 ] || fail "$1 is already loaded: the test needs a cold start"; }

zone_of() { echo "zone-$((($1 - 1) % 3 + 1))"; }

# bring_up NODES ENGINES SERVICES [ENGINE-OPTION...]: starts a complete system on
# loopback, in zone-1 to zone-3, and a platform unless PLATFORM is set. Waits
# until the nodes apply DOCUMENT, know each other and one of them decides. Sets
# NODE[i], ENGINE[i] and SERVICE[i] to the addresses; the programs are named
# node-i, engine-i and service-i.
bring_up() {
  local nodes=$1 engines=$2 services=$3 i
  shift 3
  [ -n "${PLATFORM:-}" ] || start_platform
  for ((i = 1; i <= engines; i++)); do
    start_engine "engine-$i" "$(zone_of $i)" "$ENGINE_POOL" "$@"
  done
  for ((i = 1; i <= services; i++)); do
    start_service "service-$i" "$(zone_of $i)" "$SERVICE_POOL"
  done
  for ((i = 1; i <= nodes; i++)); do start_node "node-$i" "$(zone_of $i)"; done
  for ((i = 1; i <= engines; i++)); do ENGINE[i]=$(standin_address "engine-$i"); done
  for ((i = 1; i <= services; i++)); do SERVICE[i]=$(standin_address "service-$i"); done
  for ((i = 1; i <= nodes; i++)); do NODE[i]=$(node_address "node-$i"); done
  tell_instances
  put_document "${NODE[1]}" "$DOCUMENT"
  for ((i = 1; i <= nodes; i++)); do
    until_true in_force "${NODE[i]}" "$(jq '.sections | length' "$DOCUMENT")"
    until_true knows_nodes "${NODE[i]}" "$nodes"
  done
  until_true a_node_decides
}

# Lists all instances that bring_up started. LEAVING: names of those to list as
# leaving; UNLISTED: names of those to leave out.
LEAVING=""
UNLISTED=""
tell_instances() {
  local i list=()
  for i in "${!ENGINE[@]}"; do add_instance "engine-$i" "${ENGINE[i]}" "$(zone_of "$i")" "$ENGINE_POOL"; done
  for i in "${!SERVICE[@]}"; do add_instance "service-$i" "${SERVICE[i]}" "$(zone_of "$i")" "$SERVICE_POOL"; done
  for i in "${!NODE[@]}"; do add_instance "node-$i" "${NODE[i]}" "$(zone_of "$i")" entry; done
  list_instances "${list[@]}"
}

# add_instance ID ADDRESS ZONE POOL: appends to the caller's array "list"
add_instance() {
  local leaving=false
  [[ " $UNLISTED " == *" $1 "* ]] && return
  [[ " $LEAVING " == *" $1 "* ]] && leaving=true
  list+=("$(instance "$1" "$2" "$3" "$4" $leaving)")
}

knows_nodes() { # knows_nodes NODE-ADDRESS COUNT: sees COUNT live nodes
  [ "$(admin "$1" /admin/status | jq '[.nodes[] | select(.state == "live")] | length')" = "$2" ]
}

a_node_decides() { decider >/dev/null; }

# Prints the name of the node whose /admin/status says that it makes the
# decisions for the cell.
decider() {
  local i
  for i in "${!NODE[@]}"; do
    if [ "$(curl -s -m 1 -H "Authorization: Bearer $OPERATOR_TOKEN" "http://${NODE[i]}/admin/status" |
      jq '[.cells[] | select(.decided_here)] | length')" = 1 ]; then
      echo "node-$i"
      return 0
    fi
  done
  return 1
}

# complete NODE-ADDRESS MODEL PROMPT [CURL-OPTION...]: a non-streaming completion
complete() {
  local node=$1 model=$2 prompt=$3
  shift 3
  curl -s -m 30 "$@" "http://$node/v1/completions" \
    -d "$(jq -nc --arg m "$model" --arg p "$prompt" '{model: $m, prompt: $p, max_tokens: 8}')"
}

# ran MARKER: how many requests with MARKER all engines and services executed
ran() {
  local a total=0 n
  for a in "${ENGINE[@]}" "${SERVICE[@]}"; do
    n=$(curl -s -m 2 "http://$a/ran" | jq --arg m "$1" '.ran[$m] // 0')
    total=$((total + ${n:-0}))
  done
  echo "$total"
}

# Fails when an engine got a load order that exceeds its memory, or uses more
# memory than it has.
check_engines() {
  local a report
  for a in "${ENGINE[@]}"; do
    report=$(curl -s -m 2 "http://$a/admin/report") || continue
    [ "$(jq '.violations // 0' <<<"$report")" = 0 ] || fail "memory overcommitted at $a: $report"
    [ "$(jq '.memory_used_mb <= .memory_mb' <<<"$report")" = true ] || fail "memory use exceeds memory at $a: $report"
  done
}

# replicas MODEL: number of engines on which it is loaded or being loaded
replicas() {
  local a n=0
  for a in "${ENGINE[@]}"; do
    curl -s -m 2 "http://$a/admin/report" |
      jq -e --arg m "$1" '[.models[] | select(.model == $m)] | length > 0' >/dev/null 2>&1 && n=$((n + 1))
  done
  echo "$n"
}

# stop_one NAME: stops a program and returns its exit status
stop_one() { kill -TERM "$(pid_of "$1")" 2>/dev/null && wait "$(pid_of "$1")"; }

cleanup() {
  local name pid
  for name in "${PROGRAMS[@]}"; do
    pid=$(pid_of "$name")
    kill -CONT "$pid" 2>/dev/null # a test may have stopped it
    kill -TERM "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null # the second ends a graceful shutdown
  done
  sleep 0.1
  for name in "${PROGRAMS[@]}"; do kill -KILL "$(pid_of "$name")" 2>/dev/null; done
  { wait; } 2>/dev/null
  rm -rf "$RUN"
}
trap cleanup EXIT
