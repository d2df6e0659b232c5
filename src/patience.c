#include "patience.h"

#include <stdbool.h>
#include <stdlib.h>
#include "ts.h"

void
patience_left (struct patience *patience, struct timespec after,
               struct timespec now)
{
  size_t at = patience->count++ % PATIENCE_SAMPLES;

  patience->left_after[at] = after;
  patience->left_at[at] = now;
}

static bool
is_old (struct timespec at, struct timespec now)
{
  return ts_before (ts_add (at, ts_from_s (PATIENCE_TTL_S)), now);
}

void
patience_served (struct patience *patience, struct timespec after,
                 struct timespec now)
{
  if (!ts_is_zero (patience->longest_at) && !is_old (patience->longest_at, now)
      && ts_before (after, patience->longest))
    return;
  patience->longest = after;
  patience->longest_at = now;
}

static int
compare_times (const void *a, const void *b)
{
  const struct timespec *x = a;
  const struct timespec *y = b;

  if (ts_before (*x, *y))
    return -1;
  return ts_before (*y, *x);
}

struct timespec
patience_estimate (const struct patience *patience, struct timespec now)
{
  struct timespec recent[PATIENCE_SAMPLES];
  size_t count = 0;
  size_t agree = 0;
  double median_s;

  for (size_t i = 0; i < PATIENCE_SAMPLES && i < patience->count; i++)
    if (!is_old (patience->left_at[i], now))
      recent[count++] = patience->left_after[i];
  if (count < PATIENCE_AGREE)
    return (struct timespec){ 0 };
  qsort (recent, count, sizeof recent[0], compare_times);
  median_s = ts_to_s (recent[count / 2]);
  for (size_t i = 0; i < count; i++)
    {
      double difference_s = ts_to_s (recent[i]) - median_s;

      agree += difference_s <= PATIENCE_TOLERANCE * median_s
               && difference_s >= -PATIENCE_TOLERANCE * median_s;
    }
  if (agree < PATIENCE_AGREE
      || (!ts_is_zero (patience->longest_at)
          && !is_old (patience->longest_at, now)
          && ts_to_s (patience->longest)
                 > median_s * (1 + PATIENCE_TOLERANCE)))
    return (struct timespec){ 0 };
  return recent[count / 2];
}
