#include "pace.h"

#include <stdint.h>
#include "ts.h"

#define NS_PER_US 1000

void
pace_done (struct pace *pace, size_t items, long rest_us, struct timespec now)
{
  pace->rested_at
      = ts_add (now, ts_from_ns ((int64_t)items * rest_us * NS_PER_US));
}

struct timespec
pace_next (const struct pace *pace, struct timespec now)
{
  return ts_max (pace->rested_at, now);
}
