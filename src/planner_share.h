/* planner_share - how the requests for each model are shared among its
   replicas, and the work of each engine that follows.

   Part of the planner, see planner_work.h; pure functions of a round's
   state.  */

#ifndef PARSLEYRILL_PLANNER_SHARE_H
#define PARSLEYRILL_PLANNER_SHARE_H

#include "planner_round.h"

/* Sets PLACES of PLAN, which the caller frees, and the work of its engines,
   from the rates of its models.  */
void planner_share_requests (struct plan *plan);

/* As ENGINE tells it; 1 if it does not.  */
double planner_share_pace (const struct planner_engine *engine);

/* The work of the engine of PLACE for other models.  */
struct planner_delay_work
planner_share_other_work (const struct plan_place *place);

#endif
