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
  /* Measured number of concurrent fetches that the store serves at full speed;
     starts at AT_ONCE.  */
  unsigned full_speed;
  unsigned at_full_speed; /* fetches at that number that were not slowed */
  unsigned in_flight;
  double tokens;
  struct timespec filled_at;
  double slow; /* mean ratio of measured to nominal fetch time */
};

void budget_init (struct budget *budget, double per_s, unsigned at_once,
                  struct timespec now);
void budget_set_limits (struct budget *budget, double per_s, unsigned at_once,
                        struct timespec now);

/* Whether a fetch may start; budget_take starts it.  */
bool budget_allows (struct budget *budget, struct timespec now);
void budget_take (struct budget *budget, struct timespec now);

/* A fetch ended.  MEASURED_S and NOMINAL_S are the times of a complete fetch;
   0: not known.  */
void budget_done (struct budget *budget, double measured_s, double nominal_s);

/* A fetch that started with CONCURRENT fetches in flight, itself included,
   took MEASURED_S.  If it was slowed down, the ratio to NOMINAL_S shows how
   many fetches the store serves at full speed.  Several fetches that were not
   slowed raise that number by one.  NOMINAL_S 0: not known, the fetch is
   ignored.  */
void budget_record_fetch (struct budget *budget, unsigned concurrent,
                          double measured_s, double nominal_s);

/* Maximum number of fetches in flight.  */
unsigned budget_max_in_flight (const struct budget *budget);

/* When the rate limit allows the next fetch.  */
struct timespec budget_next_at (const struct budget *budget,
                                struct timespec now);

#endif
