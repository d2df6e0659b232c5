/* reqtime - the mean share of an engine that one request takes, in seconds of
   the engine's time, as observed.

   An engine reads one prompt after the other, and generates the answers of as
   many requests at once as it has slots.  What a request takes is the larger
   of the time to read its prompt and its duration divided by the slots.

   A mean over the last REQTIME_WINDOW requests or so.  Until there are many, a
   default counts too.  Pure; one thread.  */

#ifndef PARSLEYRILL_REQTIME_H
#define PARSLEYRILL_REQTIME_H

#include <stdint.h>

#define REQTIME_DEFAULT_S 0.12
#define REQTIME_DEFAULT_WEIGHT 50 /* requests that the default stands for */
#define REQTIME_WINDOW 400        /* requests */

struct reqtime
{
  double mean_s;
  unsigned count; /* with the default's weight; at most REQTIME_WINDOW */
};

struct reqtime_sample
{
  uint64_t prompt_tokens;
  double duration_s; /* at the engine, until the end of the response */
  unsigned slots;    /* of the engine; 0: unknown */
};

void reqtime_init (struct reqtime *reqtime);

/* A request has ended.  */
void reqtime_add (struct reqtime *reqtime,
                  const struct reqtime_sample *sample);

#endif
