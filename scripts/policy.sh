#!/bin/sh
# Compares the placement policies and varies cold_weight for the standard one;
# writes CSV files, tables and plots to OUT. Variables: BUILD, OUT, SEEDS (number
# of seeds), JOBS (concurrent runs).
set -eu
BUILD=${BUILD:-build}
OUT=${OUT:-bench/results}
SEEDS=${SEEDS:-4}
JOBS=${JOBS:-4}
mkdir -p "$OUT"
runs=$(mktemp -d)
trap 'rm -rf "$runs"' EXIT
policies="lru-random lru-least-loaded previous standard"
for user in kettle andamios; do
  for fault in none engines store both; do
    for policy in $policies; do
      for seed in $(seq 1 "$SEEDS"); do
        echo "--user $user --fault $fault --policy $policy --seed $seed" \
          "--csv $runs/$user.$fault.$policy.$seed.csv"
      done
    done
  done
  for seed in $(seq 1 "$SEEDS"); do
    echo "--user $user --curve --seed $seed --csv $runs/curve-$user.$seed.csv"
  done
done | xargs -P "$JOBS" -L 1 "$BUILD/parsley-bench" policy >/dev/null
# join_csv OUT FILE...: concatenates FILEs with one header line
join_csv () {
  out=$1
  shift
  head -n 1 "$1" >"$out"
  for f in "$@"; do tail -n +2 "$f"; done >>"$out"
}
for user in kettle andamios; do
  join_csv "$OUT/$user.csv" "$runs/$user".*.csv
  join_csv "$OUT/curve-$user.csv" "$runs/curve-$user".*.csv
  awk -F, -f scripts/policy.awk "$OUT/$user.csv" | sort >"$OUT/$user.txt"
  awk -F, -f scripts/policy.awk "$OUT/curve-$user.csv" | sort -k3n \
    >"$OUT/curve-$user.txt"
  gnuplot -e "user='$user'; dir='$OUT'" bench/policy.gp
  printf '%s\n' "$user"; cat "$OUT/$user.txt" "$OUT/curve-$user.txt"
done
