#!/bin/bash
# Measures the latency and throughput of a node in front of simulated engines,
# see bench/speed.c.  Variables: SPEED_STREAMS (concurrent streams of the latency
# test, default 500) and SPEED_SCALE (percent of the default number of requests).
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
STREAMS=${SPEED_STREAMS:-500}
SCALE=${SPEED_SCALE:-100}
work=$(mktemp -d)
model=m
pids=""

stop_all () {
  for pid in $pids; do
    kill "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs it, and sets $address to the address that it prints
# and $last to its process id.
start () {
  name=$1
  shift
  mkfifo "$work/$name"
  "$@" >"$work/$name" 2>"$work/$name.err" &
  last=$!
  pids="$pids $last"
  exec {fd}<"$work/$name"
  read -r _ address <&"$fd"
}

# load_model ADDRESS MODEL: loads MODEL on the engine and waits until it is done.
load_model () {
  curl -sf -o /dev/null "http://$1/admin/order" -d \
    '{"order_id":"1","type":"load","model":"'"$2"'","version":"1","memory_mb":10,"fence":1}'
  until curl -sf "http://$1/admin/report" | grep -q '"state": *"loaded"'; do :; done
}

# start_engines PREFIX COUNT OPTION...: starts engines with $model loaded and
# sets $list to their addresses.
start_engines () {
  prefix=$1
  count=$2
  shift 2
  list=""
  for i in $(seq "$count"); do
    start "$prefix$i" "$BUILD/parsley-standin" engine --slots 8192 \
      --on-disk m@1,probe@1 --load-ms 1 "$@"
    load_model "$address" "$model"
    list="$list${list:+,}$address"
  done
}

# scale COUNT: prints SCALE percent of COUNT.
scale () { echo $(($1 * SCALE / 100)); }

speed () { "$BUILD/parsley-bench" speed "$@"; }

# Latency that the node adds: 3,000 probes directly to an engine and 3,000
# through the node, while it serves 500 streams of 20 tokens per second.
start_engines latency 2 --token-ms 50 --prefill-ms 0
stream_engines=$list
model=probe
start_engines probe 1 --token-ms 0 --prefill-ms 0
model=m
start node_latency "$BUILD/parsley-bench" node --log /dev/null --engines "$stream_engines" \
  --probe "$list" --slots 8192
speed --test latency --direct "$list" --node "$address" \
  --streams "$STREAMS" --requests "$(scale 3000)" --tokens 40

# Requests per second, with answers of one token.
start_engines short 4 --token-ms 0 --prefill-ms 0
start node_short "$BUILD/parsley-bench" node --log /dev/null --engines "$list" --slots 8192
speed --test short --node "$address" --streams 128 \
  --requests "$(scale 100000)" --tokens 1

# Tokens per second, with streams of 400 tokens.
start_engines tokens 4 --token-ms 1 --prefill-ms 0 --batch 16
start node_tokens "$BUILD/parsley-bench" node --log /dev/null --engines "$list" --slots 8192
speed --test tokens --node "$address" --streams 400 \
  --requests "$(scale 8000)" --tokens 400

# Memory of open streams that get no tokens.
start_engines idle 1 --token-ms 600000 --prefill-ms 1
start node_idle "$BUILD/parsley-bench" node --log /dev/null --engines "$list" --slots 8192
speed --test idle --node "$address" --streams 1000 --tokens 2 --pid "$last"
