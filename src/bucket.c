#include "bucket.h"

#include <math.h>
#include <glib.h>
#include "ts.h"

/* Tickets that were not issued yet come at the new rate.  */
static void
set_rate (struct bucket *bucket, double per_s, struct timespec now)
{
  struct timespec ahead = ts_sub (bucket->next, now);

  if (ts_is_zero (bucket->next))
    bucket->next = now;
  else if (ts_before (now, bucket->next) && bucket->per_s > 0)
    bucket->next
        = ts_add (now, ts_from_s (ts_to_s (ahead) * bucket->per_s / per_s));
  bucket->per_s = per_s;
}

static int64_t
promise_ms (struct bucket *bucket, struct timespec now)
{
  struct timespec last = ts_add_ms (now, BUCKET_PROMISE_MAX_MS);
  struct timespec promised = bucket->promised;

  if (ts_before (promised, bucket->next) || ts_before (last, promised))
    promised = bucket->next;
  bucket->promised = ts_add (promised, ts_from_s (1 / bucket->per_s));
  return ts_to_ms (ts_sub (promised, now)) + 1;
}

static bool
issue_next (struct bucket *bucket, int64_t wait_max_ms, struct timespec now,
            int64_t *wait_ms)
{
  *wait_ms = MAX (ts_to_ms (ts_sub (bucket->next, now)), 0);
  if (*wait_ms > wait_max_ms)
    {
      *wait_ms = promise_ms (bucket, now);
      return false;
    }
  bucket->next = ts_add (bucket->next, ts_from_s (1 / bucket->per_s));
  return true;
}

void
bucket_hold (struct bucket *bucket, struct timespec not_before)
{
  bucket->next = ts_max (bucket->next, not_before);
}

bool
bucket_issue (struct bucket *bucket, double per_s, int64_t wait_max_ms,
              struct timespec now, int64_t *wait_ms)
{
  struct timespec burst = ts_max (ts_from_s ((BUCKET_BURST - 1) / per_s),
                                  ts_from_ms (BUCKET_BURST_MS));

  set_rate (bucket, per_s, now);
  bucket->next = ts_max (bucket->next, ts_sub (now, burst));
  return issue_next (bucket, wait_max_ms, now, wait_ms);
}

bool
bucket_issue_slot (struct bucket *bucket, double per_s, double phase,
                   int64_t wait_max_ms, struct timespec now, int64_t *wait_ms)
{
  double missed;

  if (ts_is_zero (bucket->next))
    bucket->next = ts_add (now, ts_from_s (phase / per_s));
  set_rate (bucket, per_s, now);
  missed = ceil (ts_to_s (ts_sub (now, bucket->next)) * per_s);
  if (missed > 0)
    bucket->next = ts_add (bucket->next, ts_from_s (missed / per_s));
  return issue_next (bucket, wait_max_ms, now, wait_ms);
}
