/* bucket - issues tickets at a rate, some of them for a later time.

   Who wants a ticket says how long it would wait.  If that is too short, it is
   told when there is one; each is told another time.

   A zeroed struct bucket is new.  No I/O; one thread.  */

#ifndef PARSLEYRILL_BUCKET_H
#define PARSLEYRILL_BUCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define BUCKET_BURST 2              /* tickets issued at once after a pause */
#define BUCKET_BURST_MS 100         /* the same at high rates, in time */
#define BUCKET_PROMISE_MAX_MS 10000 /* latest time that is told */

struct bucket
{
  struct timespec next;     /* first time not issued; zero: new */
  struct timespec promised; /* told up to here */
  double per_s;             /* at the last use */
};

/* Returns whether a ticket is issued, and sets *WAIT_MS to the time until it
   is valid, at most WAIT_MAX_MS, or until there may be one.  */
bool bucket_issue (struct bucket *bucket, double per_s, int64_t wait_max_ms,
                   struct timespec now, int64_t *wait_ms);

/* No ticket is valid before NOT_BEFORE.  */
void bucket_hold (struct bucket *bucket, struct timespec not_before);

/* The same as bucket_issue for tickets at fixed times, 1 / PER_S apart, which
   are lost if they are not issued.  The first one is PHASE, from 0 to 1, of
   this later than the first call.  */
bool bucket_issue_slot (struct bucket *bucket, double per_s, double phase,
                        int64_t wait_max_ms, struct timespec now,
                        int64_t *wait_ms);

#endif
