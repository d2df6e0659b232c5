/* planner_value - what a replica is worth to the planner, and what is lost
   when it is evicted.

   Values are the estimated total delay of requests, in seconds, summed over
   all requests that an eviction delays.  Part of the planner; pure functions
   of a round's state.  */

#ifndef PARSLEYRILL_PLANNER_VALUE_H
#define PARSLEYRILL_PLANNER_VALUE_H

#include "planner_round.h"

#define PLANNER_HORIZON_S                                                     \
  10.0 /* arrivals in this time are delayed by a reload */
#define PLANNER_PINNED_VALUE 1e6 /* never evicted */

/* Whether the request rates are not known yet, as this decider has counted
   arrivals for too short a time.  */
bool planner_rates_unknown (const struct plan *plan);

/* Number of replicas that the request rate of MODEL needs.  */
unsigned planner_needed_replicas (const struct plan *plan,
                                  const struct plan_model *model);

/* The least valuable model on ENGINE that is not in EXCLUDED, a list of names;
   NULL when none may be evicted.  Sets *VALUE.  */
const char *planner_choose_victim (const struct plan *plan,
                                   const struct planner_engine *engine,
                                   const GPtrArray *excluded, double *value);

/* Value of the replicas that ENGINE must evict to load MODEL;
   PLANNER_PINNED_VALUE when there is no way to make room.  */
double planner_eviction_loss (const struct plan *plan,
                              const struct planner_engine *engine,
                              const struct site_model *model);

#endif
