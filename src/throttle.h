/* pace - how soon a costly round of work may follow the one before.

   A round rests in proportion to what it has to look at, so that its share of
   the processor stays the same however many ask for it.  One that is asked
   for after the rest is run at once.  */

#ifndef PARSLEYRILL_PACE_H
#define PARSLEYRILL_PACE_H

#include <stddef.h>
#include <time.h>

struct throttle
{
  struct timespec rested_at; /* zero at first */
};

/* A round that looked at ITEMS ended at NOW; each is worth REST_US
   microseconds of rest.  */
void throttle_run_done (struct throttle *pace, size_t items, long rest_us,
                        struct timespec now);

/* When a round asked for at NOW may run.  */
struct timespec throttle_next_run (const struct throttle *pace,
                                   struct timespec now);

#endif
