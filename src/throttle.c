#include "throttle.h"

#include <stdint.h>
#include "ts.h"

#define NS_PER_US 1000

void
throttle_run_done (struct throttle *throttle, size_t items, long pause_us,
                   struct timespec now)
{
  throttle->pause_ends_at
      = ts_add (now, ts_from_ns ((int64_t)items * pause_us * NS_PER_US));
}

struct timespec
throttle_next_run (const struct throttle *throttle, struct timespec now)
{
  return ts_max (throttle->pause_ends_at, now);
}
