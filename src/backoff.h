/* backoff - exponential backoff with jitter.

   Not thread-safe: the functions advance RAND.  */

#ifndef PARSLEYRILL_BACKOFF_H
#define PARSLEYRILL_BACKOFF_H

#include <glib.h>
#include <time.h>

#define BACKOFF_FIRST_MS 250 /* doubles with each failure */
#define BACKOFF_MAX_MS 8000

/* Time of the next attempt when FAILURES attempts failed before the one that
   failed NOW: a random time in the second half of the backoff interval, or the
   end of the interval when RAND is NULL.  */
struct timespec backoff_retry_at (unsigned failures, GRand *rand,
                                  struct timespec now);

/* NOW plus MS milliseconds, varied at random by up to 15 %.  Not varied when
   RAND is NULL.  */
struct timespec backoff_jitter (double ms, GRand *rand, struct timespec now);

#endif
