/* throttle - limits how often an expensive periodic task runs.

   The pause after a run is proportional to the number of items that it
   processed, so that its share of the processor stays constant however
   often it is requested.  A request after the pause runs at once.  */

#ifndef PARSLEYRILL_THROTTLE_H
#define PARSLEYRILL_THROTTLE_H

#include <stddef.h>
#include <time.h>

struct throttle
{
  struct timespec pause_ends_at; /* end of the pause; zero initially */
};

/* A run over ITEMS items ended at NOW.  Each item adds PAUSE_US
   microseconds to the pause.  */
void throttle_run_done (struct throttle *throttle, size_t items, long pause_us,
                        struct timespec now);

/* Earliest time for a run requested at NOW.  */
struct timespec throttle_next_run (const struct throttle *throttle,
                                   struct timespec now);

#endif
