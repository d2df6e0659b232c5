/* retry - the budget for attempts after the first, and their back-off.

   Each first attempt adds RETRY_PERCENT of a retry to the budget of its
   thread and of its target; a retry takes a whole one from both.  The thread
   budget starts and is capped at RETRY_BURST divided by the threads, so that
   in any stretch of N requests a node makes at most RETRY_PERCENT of N plus
   RETRY_BURST retries (the token bucket of Finagle's RetryBudget).

   One struct retry per traffic thread.  */

#ifndef PARSLEYRILL_RETRY_H
#define PARSLEYRILL_RETRY_H

#include <stdbool.h>
#include <glib.h>
#include <time.h>

#define RETRY_PERCENT 8      /* of the first attempts */
#define RETRY_BURST 16       /* retries saved up at most, a node */
#define RETRY_TARGET_BURST 4 /* retries saved up at most, a target */
#define RETRY_BASE_MS 20     /* ceiling of the first delay */
#define RETRY_MAX_MS 1000    /* ceiling of any delay */

struct retry;

/* A budget of its own for each target, and none for all of them.  */
struct retry_options
{
  unsigned percent; /* of the first attempts */
  unsigned burst;   /* retries saved up at most, a target */
};

struct retry *retry_new (unsigned threads);
struct retry *retry_new_per_target (const struct retry_options *options);

/* Other limits from now on; what was saved up beyond them is lost.  */
void retry_set_limits (struct retry *retry,
                       const struct retry_options *options);
void retry_free (struct retry *retry);

/* A request of TARGET made its first attempt.  */
void retry_deposit (struct retry *retry, const char *target);

/* Takes one retry from both budgets, or neither and returns false.  */
bool retry_withdraw (struct retry *retry, const char *target);

/* Time to wait before attempt number N (2 for the first retry): uniform
   between 0 and an exponentially growing ceiling.  0 when the attempt
   before it was not run.  */
struct timespec retry_delay (unsigned n, bool not_run, GRand *rand);

#endif
