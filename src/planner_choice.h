/* planner_choice - which engine is to load a model.

   Part of the planner; pure functions of a round's state.  */

#ifndef PARSLEYRILL_PLANNER_CHOICE_H
#define PARSLEYRILL_PLANNER_CHOICE_H

#include "planner_round.h"

/* Time until an engine accepts an order while it evicts models for another
   load.  */
#define PLANNER_MAKE_ROOM_S 1.5

/* A candidate engine for a load.  */
struct planner_candidate
{
  struct planner_engine *engine;
  double busy_s; /* until the engine accepts an order */
  double load_s;
  double loss; /* value of the replicas to evict, and delay of adapters */
  bool fetches;
};

/* The engine with the least sum of waiting time, load time and loss for MODEL,
   busy engines included.  SOFTWARE: only engines with that version, NULL: all.
   FETCH: loads from the weight store are allowed.  The engine is NULL when
   there is none.  */
struct planner_candidate planner_choose_engine (const struct plan *plan,
                                                const struct site_model *model,
                                                const char *software,
                                                bool fetch);

#endif
