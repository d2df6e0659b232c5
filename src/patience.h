/* patience - how long the callers of a route wait for the first byte of a
   response, as observed.

   Callers may leave long before the deadline that they state.  If most of
   those that left lately did so after the same time, and none waited longer,
   that time is taken for what the others wait too.

   One struct patience per route.  Pure; one thread.  */

#ifndef PARSLEYRILL_PATIENCE_H
#define PARSLEYRILL_PATIENCE_H

#include <stddef.h>
#include <time.h>

#define PATIENCE_SAMPLES 8 /* callers that left last */
#define PATIENCE_AGREE 6   /* of these, to be believed */
#define PATIENCE_TOLERANCE                                                    \
  0.05                     /* share of the time by which they may differ */
#define PATIENCE_TTL_S 120 /* what was observed longer ago does not count */

struct patience
{
  struct timespec left_after[PATIENCE_SAMPLES]; /* a ring */
  struct timespec left_at[PATIENCE_SAMPLES];
  size_t count;               /* callers that left so far */
  struct timespec longest;    /* that a caller waited who got a response */
  struct timespec longest_at; /* zero: none yet */
};

/* A caller left at NOW, AFTER the arrival of its request, without a byte of
   the response.  */
void patience_left (struct patience *patience, struct timespec after,
                    struct timespec now);

/* A caller got the first byte of a response at NOW, AFTER the arrival of its
   request.  */
void patience_served (struct patience *patience, struct timespec after,
                      struct timespec now);

/* How long callers wait; zero: not known.  */
struct timespec patience_estimate (const struct patience *patience,
                                   struct timespec now);

#endif
