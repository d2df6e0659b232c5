#include "backoff.h"

#include "ts.h"

#define JITTER 0.15

struct timespec
backoff_retry_at (unsigned failures, GRand *rand, struct timespec now)
{
  gint32 ms = BACKOFF_MS;

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
  double part = 1;

  if (rand != NULL)
    part = g_rand_double_range (rand, 1 - JITTER, 1 + JITTER);
  return ts_add (now, ts_from_s (ms * part / (double)TS_MS_PER_S));
}
