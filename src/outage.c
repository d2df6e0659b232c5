#include "outage.h"

#include "ts.h"

/* Silences that entries survive, and how long the store has to respond for all
   live servers to have registered, in heartbeat intervals.  */
#define SURVIVED_INTERVALS 2
#define SETTLED_INTERVALS 1

static struct timespec
add_intervals (const struct outage *outage, struct timespec at, int64_t count)
{
  return ts_add_ms (at, count * outage->heartbeat_ms);
}

/* The outage has lasted until NOW.  */
static void
extend (struct outage *outage, struct timespec now)
{
  outage->to = now;
  if (!ts_before (now,
                  add_intervals (outage, outage->from, SURVIVED_INTERVALS)))
    outage->keep_until
        = ts_add_ms (outage->failed_at, OUTAGE_REREGISTRATION_MS);
}

static bool
has_settled (const struct outage *outage, struct timespec now)
{
  return !outage->lasting
         && !ts_before (now,
                        add_intervals (outage, outage->to, SETTLED_INTERVALS));
}

void
outage_failed (struct outage *outage, struct timespec now)
{
  if (has_settled (outage, now))
    outage->from = outage->answered_at;
  outage->lasting = true;
  outage->failed_at = now;
  extend (outage, now);
}

void
outage_answered (struct outage *outage, struct timespec now)
{
  if (outage->lasting)
    extend (outage, now);
  outage->lasting = false;
  outage->answered_at = now;
}

void
outage_entries_lost (struct outage *outage, struct timespec now)
{
  outage->failed_at = now;
  outage->keep_until = ts_add_ms (now, OUTAGE_REREGISTRATION_MS);
}

struct timespec
outage_removal_time (const struct outage *outage, struct timespec now)
{
  return ts_max (now, outage->keep_until);
}
