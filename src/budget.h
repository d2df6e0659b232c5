/* budget - the share of the weight store's capacity that one decider may use.

   Limits both the rate of fetches, by a token bucket of size one, and the
   number of fetches in flight.  The slowdown of the store under load is
   measured from completed fetches and scales the estimates.

   One thread at a time; no memory is owned.  */

#ifndef PARSLEYRILL_BUDGET_H
#define PARSLEYRILL_BUDGET_H

#include <stdbool.h>
#include <time.h>

struct budget
{
  double per_s;     /* fetches a second */
  unsigned at_once; /* maximum number of fetches in flight */
  /* Measured number of concurrent fetches that the store serves without
     slowing them down; initially AT_ONCE.  */
  unsigned concurrency_limit;
  /* Fetches at that concurrency or more that were not slowed down, since the
     limit changed.  */
  unsigned unslowed_count;
  unsigned in_flight;
  double tokens; /* of the token bucket */
  struct timespec refilled_at;
  double slow; /* mean ratio of measured to nominal fetch time */
};

void budget_init (struct budget *budget, double per_s, unsigned at_once,
                  struct timespec now);
void budget_set_limits (struct budget *budget, double per_s, unsigned at_once,
                        struct timespec now);

/* Assumes that concurrent fetches slow each other down, until fetches show
   that they don't.  */
void budget_assume_single (struct budget *budget);

/* Whether a fetch may start; budget_take starts it.  */
bool budget_allows (struct budget *budget, struct timespec now);
void budget_take (struct budget *budget, struct timespec now);

/* A fetch ended.  MEASURED_S and NOMINAL_S are the times of a complete fetch;
   0: not known.  */
void budget_done (struct budget *budget, double measured_s, double nominal_s);

/* A fetch that started with CONCURRENT fetches in flight, itself included,
   took MEASURED_S.  If it was slowed down, the concurrency limit is derived
   from the ratio to NOMINAL_S; after several fetches that were not slowed down
   the limit is raised by one.  NOMINAL_S 0: not known, the fetch is
   ignored.  */
void budget_record_fetch (struct budget *budget, unsigned concurrent,
                          double measured_s, double nominal_s);

/* Whether a fetch that takes NOMINAL_S undisturbed, and has taken SO_FAR_S,
   is slowed down.  */
bool budget_is_slowed (double so_far_s, double nominal_s);

/* A fetch that started with CONCURRENT fetches in flight is being slowed down:
   no more than before it start together until it ends.  */
void budget_slowed (struct budget *budget, unsigned concurrent);

/* Maximum number of fetches in flight.  */
unsigned budget_max_in_flight (const struct budget *budget);

/* When the rate limit allows the next fetch.  */
struct timespec budget_next_at (const struct budget *budget,
                                struct timespec now);

#endif
