#include "drain.h"

#include <stdlib.h>
#include <string.h>
#include "ts.h"

/* Shares of the drain time, from its start, during which new requests are
   accepted and waiting ones sent.  When the first ends, callers have refreshed
   their addresses; most responses take less time than remains after the
   second.  */
#define ACCEPT_SHARE 0.4
#define SEND_SHARE 0.6

static int64_t
elapsed_ms (const struct drain *drain, struct timespec now)
{
  return ts_to_ms (ts_sub (now, drain->started_at));
}

static struct timespec
drain_end (const struct drain *drain)
{
  return ts_add_ms (drain->started_at, drain->ms);
}

static bool
within (const struct drain *drain, double share, struct timespec now)
{
  return (double)elapsed_ms (drain, now) < share * (double)drain->ms;
}

/* Whether the request surely ends in time.  */
static bool
is_sure (const struct drain *drain, const struct drain_request *request)
{
  return !ts_before (drain_end (drain), request->deadline);
}

static bool
is_likely (const struct drain *drain, const struct drain_request *request,
           struct timespec now)
{
  return !ts_before (drain_end (drain), ts_add (now, request->usual));
}

bool
drain_is_open (const struct drain *drain, struct timespec now)
{
  return ts_is_zero (drain->started_at) || within (drain, ACCEPT_SHARE, now);
}

bool
drain_accepts (const struct drain *drain, const struct drain_request *request,
               struct timespec now)
{
  if (ts_is_zero (drain->started_at))
    return true;
  if (!drain_is_open (drain, now))
    return false;
  return is_sure (drain, request)
         || (elapsed_ms (drain, now) < DRAIN_UNSURE_MS
             && is_likely (drain, request, now));
}

bool
drain_may_send (const struct drain *drain, const struct drain_request *request,
                struct timespec now)
{
  if (ts_is_zero (drain->started_at))
    return true;
  return within (drain, SEND_SHARE, now)
         && (is_sure (drain, request) || is_likely (drain, request, now));
}

void
duration_add (struct duration *duration, struct timespec took)
{
  duration->samples[duration->count++ % DURATION_SAMPLES] = took;
}

static int
compare (const void *a, const void *b)
{
  return ts_cmp (*(const struct timespec *)a, *(const struct timespec *)b);
}

struct timespec
duration_usual (const struct duration *duration)
{
  struct timespec sorted[DURATION_SAMPLES];

  if (duration->count < DURATION_SAMPLES)
    return (struct timespec){ 0 };
  memcpy (sorted, duration->samples, sizeof sorted);
  qsort (sorted, DURATION_SAMPLES, sizeof sorted[0], compare);
  return sorted[DURATION_RANK - 1];
}
