#!/bin/bash
# Measures the cost of the control plane: CPU time of each node's control
# thread, resident memory, bytes sent to peers, table reads and writes, first
# idle, then with a client that sends completions to the nodes in turn.
# Arguments: nodes (default 5), engines (10), seconds per measurement (20).
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh
NODES=${1:-5} ENGINES=${2:-10} SAMPLE_S=${3:-20}
bring_up "$NODES" "$ENGINES" 4 --on-disk '*'

ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/$(pid_of "node-$1")/task/$(pid_of "node-$1")/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$(pid_of "node-$1")/status"; }
metric() { curl -s "http://${NODE[$1]}/metrics" | awk -v m="$2" '$1 == m {print $2}'; }

sample() { # sample FILE: a line of counters for each node
  local i
  for ((i = 1; i <= NODES; i++)); do
    echo "$(cpu $i) $(metric $i parsley_peer_bytes_sent_total) $(metric $i parsley_table_reads_total) $(metric $i parsley_table_writes_total)"
  done >"$1"
}

measure() { # measure LABEL: prints rates over SAMPLE_S seconds
  sample "$RUN/before"
  sleep "$SAMPLE_S"
  sample "$RUN/after"
  paste -d' ' "$RUN/before" "$RUN/after" | awk -v s="$SAMPLE_S" -v hz="$ticks" -v l="$1" '
    { c = ($5 - $1) / hz / s * 100; p = ($6 - $2) / s; r += ($7 - $3) / s; w += ($8 - $4) / s
      cs += c; ps += p; if (c > cm) cm = c; if (p > pm) pm = p }
    END { printf "%-5s core%% mean=%.2f max=%.2f  peer_bytes/s mean=%.0f max=%.0f  table reads/s=%.1f writes/s=%.1f (all nodes)\n",
          l, cs / NR, cm, ps / NR, pm, r, w }'
}

measure idle
(
  while :; do
    for i in "${!NODE[@]}"; do
      complete "${NODE[$i]}" summary "busy" -H 'X-Deadline-Ms: 5000' >/dev/null
      complete "${NODE[$i]}" proposal "busy" -H 'X-Deadline-Ms: 5000' >/dev/null
    done
  done
) &
load_pid=$!
measure busy
kill $load_pid
for ((i = 1; i <= NODES; i++)); do rss $i; done | sort -n | awk '{a[NR] = $1} END {printf "resident KB min=%d max=%d\n", a[1], a[NR]}'
