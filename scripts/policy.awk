# Summarizes the CSV of parsley-bench policy by fault, policy and cold_weight:
# means over the seeds, and the range of the p99. "ratio" is mean p99 over mean
# bound; "within" counts seeds whose p99 is at most 1.3 times their bound.
NR > 1 {
  k = sprintf ("%-7s %-16s %.2f", $2, $1, $4)
  n[k]++; cold[k] += $6; p50[k] += $7; p95[k] += $8; p99[k] += $9
  bound[k] += $10; refused[k] += $11; idle[k] += $12; loads[k] += $13
  if (n[k] == 1 || $9 < low[k]) low[k] = $9
  if ($9 > high[k]) high[k] = $9
  if ($9 <= 1.3 * $10) within[k]++
}
END {
  for (k in n)
    printf "%s seeds=%d cold%%=%.2f p50=%.2f p95=%.2f p99=%.2f (%.2f-%.2f) bound=%.2f ratio=%.2f within=%d refused=%d idle_h=%.1f loads=%.0f\n",
      k, n[k], cold[k] / n[k], p50[k] / n[k], p95[k] / n[k], p99[k] / n[k],
      low[k], high[k], bound[k] / n[k], p99[k] / bound[k], within[k],
      refused[k], idle[k] / n[k], loads[k] / n[k]
}
