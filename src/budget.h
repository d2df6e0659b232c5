/* budget - the share of the weight store that one decider may use.

   Loads a second and loads at once are one budget: a token bucket that holds
   at most one load beside a count of fetches in flight.  The store's
   slow-down is measured from fetches that ended and stretches the estimates.

   One thread at a time; no memory is owned.  */

#ifndef PARSLEYRILL_BUDGET_H
#define PARSLEYRILL_BUDGET_H

#include <stdbool.h>
#include <time.h>

struct budget
{
  double per_s;     /* loads a second */
  unsigned at_once; /* fetches in flight at full speed */
  /* As measured: as many ran at full speed, AT_ONCE at first.  */
  unsigned full_speed;
  unsigned kept; /* fetches that kept to it since */
  unsigned in_flight;
  double tokens;
  struct timespec filled_at;
  double slow; /* measured time of a fetch over the nominal one */
};

void budget_init (struct budget *budget, double per_s, unsigned at_once,
                  struct timespec now);
void budget_set_limits (struct budget *budget, double per_s, unsigned at_once,
                        struct timespec now);

/* Whether a fetch may start; budget_take starts it.  */
bool budget_allows (struct budget *budget, struct timespec now);
void budget_take (struct budget *budget, struct timespec now);

/* A fetch ended.  MEASURED_S and NOMINAL_S of a whole one; 0: not known.  */
void budget_done (struct budget *budget, double measured_s, double nominal_s);

/* A fetch that began as the ABREASTth took MEASURED_S: one that others slow
   down shows how many are served at full speed; some that are not let one more
   be tried.  NOMINAL_S 0: not known, nothing is learned.  */
void budget_record_fetch (struct budget *budget, unsigned abreast,
                          double measured_s, double nominal_s);

/* Fetches that may be in flight.  */
unsigned budget_max_in_flight (const struct budget *budget);

/* When the next fetch may start, as far as the rate goes.  */
struct timespec budget_next_at (const struct budget *budget,
                                struct timespec now);

#endif
