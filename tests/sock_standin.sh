#!/bin/bash
# parsley-standin as a process: prints its address when it is ready, exits on
# SIGTERM, fetches weights from the platform, crashes on a request that contains
# the crash marker, and rejects an unknown role.
set -u
standin=$BUILD/parsley-standin
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait; rm -r "$dir"' EXIT

# start NAME ROLE OPTION...: sets ADDRESS and PID once the process listens
start () {
  local name=$1
  shift
  mkfifo "$dir/$name"
  "$standin" "$@" >"$dir/$name" &
  PID=$!
  pids+=("$PID")
  local status_word
  read -r status_word ADDRESS <"$dir/$name"
  [ "$status_word" = listening ] || fail "$name printed no 'listening' line"
}

fail () { echo "$1"; exit 1; }
post () { curl -sS -d "$2" "http://$1"; }

start platform platform --load-ms 20
platform=$ADDRESS platform_pid=$PID
start engine engine --platform "$platform" --id e1 --memory-mb 100
engine=$ADDRESS engine_pid=$PID

post "$engine/admin/order" '{"order_id":"o1","type":"load","model":"m",
  "version":"1","memory_mb":60}' | grep -q accepted || fail "load order refused"
until curl -sS "http://$engine/admin/report" | grep -q '"state":"loaded"'; do :; done
curl -sS "http://$platform/status" | grep -q '"loads":1,' || fail "the weights were not fetched from the platform"
post "$engine/v1/completions" '{"model":"m","prompt":"p"}' | grep -q '"usage"' || fail "completion failed"

post "$engine/faults" '{"crash_marker":"boom"}' >/dev/null
post "$engine/v1/completions" '{"model":"m","prompt":"a boom"}' 2>/dev/null && fail "got a response to the crash marker"
wait "$engine_pid"
[ $? = 70 ] || fail "the engine did not exit with 70"

kill -TERM "$platform_pid"
wait "$platform_pid" || fail "exit status after SIGTERM is $?"
"$standin" nobody 2>/dev/null
[ $? = 2 ] || fail "exit status for an unknown role is not 2"
exit 0
