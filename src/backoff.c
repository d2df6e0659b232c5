#include "backoff.h"

#include "ts.h"

#define JITTER_FRACTION 0.15

struct timespec
backoff_retry_at (unsigned failures, GRand *rand, struct timespec now)
{
  gint32 ms = BACKOFF_FIRST_MS;

  for (unsigned i = 0; i < failures && ms < BACKOFF_MAX_MS; i++)
    ms *= 2;
  ms = MIN (ms, BACKOFF_MAX_MS);
  if (rand != NULL)
    ms = g_rand_int_range (rand, ms / 2, ms);
  return ts_add_ms (now, ms);
}

struct timespec
backoff_jitter (double ms, GRand *rand, struct timespec now)
{
  double factor = 1;

  if (rand != NULL)
    factor
        = g_rand_double_range (rand, 1 - JITTER_FRACTION, 1 + JITTER_FRACTION);
  return ts_add (now, ts_from_s (ms * factor / (double)TS_MS_PER_S));
}
