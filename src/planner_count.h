/* planner_count - replicas and waiting requests of each model, counted at the
   beginning of a round.

   Part of the planner; private to it.  */

#ifndef PARSLEYRILL_PLANNER_COUNT_H
#define PARSLEYRILL_PLANNER_COUNT_H

#include "planner_round.h"

/* Sets MODELS and MODEL_ARRAY of PLAN, which the caller frees.  */
void planner_count (struct plan *plan);

/* The model that the requests of ENTRY wait for; NULL when the service has no
   such model.  */
struct plan_model *planner_count_model (const struct plan *plan,
                                        const struct planner_waiting *entry);

#endif
