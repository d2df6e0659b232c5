/* backoff - growing, jittered waits after failures.

   One thread at a time.  */

#ifndef PARSLEYRILL_BACKOFF_H
#define PARSLEYRILL_BACKOFF_H

#include <glib.h>
#include <time.h>

#define BACKOFF_MS 250 /* first wait; doubles with each failure */
#define BACKOFF_MAX_MS 8000

/* When to try again after FAILURES failures before this one: a random instant
   in the later half of the wait.  RAND NULL: at its end.  */
struct timespec backoff_retry_at (unsigned failures, GRand *rand,
                                  struct timespec now);

/* NOW and MS milliseconds, 15 % more or less.  RAND NULL: just that.  */
struct timespec backoff_jitter (double ms, GRand *rand, struct timespec now);

#endif
