/* gaps - predicts the next request for a model from its inter-arrival times.

   Keeps a histogram of the gaps between requests in logarithmic bins and
   request counts by hour of day, both with exponential decay.  A model with
   few requests uses the histogram of its pool as a prior.

   Times are in seconds; WALL_S is since the Epoch.  Calls must not overlap.
   Owns no memory.  */

#ifndef PARSLEYRILL_GAPS_H
#define PARSLEYRILL_GAPS_H

#include <stdbool.h>

#define GAPS_BINS 32     /* two per power of two, from GAPS_FIRST_S */
#define GAPS_FIRST_S 4.0 /* upper bound of the first bin */
#define GAPS_HOURS 24

struct gaps
{
  float bin[GAPS_BINS];
  float total;
  /* Requests after a gap of a minute or more, by hour of day.  */
  float hour[GAPS_HOURS];
  float hour_total;
  double last_call_s; /* wall clock; 0: no request yet */
  double decayed_s;   /* wall clock at the last decay */
};

void gaps_init (struct gaps *gaps);

/* Records a request at WALL_S, also in PRIOR unless that is NULL.  */
void gaps_call (struct gaps *gaps, struct gaps *prior, double wall_s);

/* Probability that the next request comes within HORIZON_S, given that none
   has come since the last one.  PRIOR may be NULL.  */
double gaps_call_probability (const struct gaps *gaps,
                              const struct gaps *prior, double wall_s,
                              double horizon_s);

/* Seconds since the last request; 1 when there was none yet.  */
double gaps_idle_s (const struct gaps *gaps, double wall_s);

#endif
