/* retry - the budget for retries, and their back-off.

   Each first attempt adds RETRY_PERCENT percent of a retry to the budgets of
   its thread and of its target; a retry takes one from both.  The thread
   budget starts at, and is limited to, RETRY_BURST divided by the number of
   threads.  Thus, for any N successive requests, a node makes at most
   RETRY_PERCENT percent of N plus RETRY_BURST retries (the token bucket of
   Finagle's RetryBudget).

   One struct retry per traffic thread.  */

#ifndef PARSLEYRILL_RETRY_H
#define PARSLEYRILL_RETRY_H

#include <stdbool.h>
#include <glib.h>
#include <time.h>

#define RETRY_PERCENT 8      /* of first attempts */
#define RETRY_BURST 16       /* accumulated retries, per node */
#define RETRY_TARGET_BURST 4 /* accumulated retries, per target */
#define RETRY_BASE_MS 20     /* upper limit of the first delay */
#define RETRY_MAX_MS 1000    /* upper limit of any delay */

struct retry;

struct retry_options
{
  unsigned percent; /* of first attempts */
  unsigned burst;   /* accumulated retries, per target */
};

/* Budgets as described above; THREADS is the number of traffic threads of the
   node.  */
struct retry *retry_new (unsigned threads);

/* A budget for each target, without one for the thread.  */
struct retry *retry_new_per_target (const struct retry_options *options);

/* Sets new limits.  Accumulated retries above them are discarded.  */
void retry_set_limits (struct retry *retry,
                       const struct retry_options *options);
void retry_free (struct retry *retry);

/* A request of TARGET made its first attempt.  */
void retry_deposit (struct retry *retry, const char *target);

/* Takes one retry from both budgets.  If either is too low, takes none and
   returns false.  */
bool retry_withdraw (struct retry *retry, const char *target);

/* Whether retry_withdraw would succeed.  */
bool retry_available (struct retry *retry, const char *target);

/* Delay before attempt number N (2 for the first retry): uniform between 0
   and an exponentially growing limit.  0 when the previous attempt was not
   run.  */
struct timespec retry_delay (unsigned n, bool not_run, GRand *rand);

#endif
