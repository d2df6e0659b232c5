/* planner_work - the work that each engine of a round has, the delay of the
   requests for each model that follows from it, and what a replica more or
   less changes.

   Only for services whose engines tell a pace; see planner_delay.h for the
   formulas.  Requests for a model are expected to be shared among its replicas
   in proportion to the speed that is left at their engines, as nodes choose.
   A replica that is being loaded, or that an engine makes room for, counts.

   Values and costs are delays of requests in seconds, summed over requests and
   weighted by priority, as in planner_value.h.  Part of the planner; pure
   functions of a round's state.  */

#ifndef PARSLEYRILL_PLANNER_WORK_H
#define PARSLEYRILL_PLANNER_WORK_H

#include "planner_round.h"

/* Time constant of the rates that tell which models are asked for now and
   then.  */
#define PLANNER_WORK_LONG_S 120.0

/* Sets by_delay, and if it is true the work of all engines and the delays of
   all models.  Called once the replicas and waiting requests are
   counted.  The caller frees PLACES of PLAN.  */
void planner_work_init (struct plan *plan);

/* Whether the decider is too new to know what runs, or has run lately, at the
   engines: it evicts nothing that may be in use.  */
bool planner_work_is_learning (const struct plan *plan);

/* Whether the decider has counted requests for long enough to tell which
   models are lacking most.  */
bool planner_work_may_fetch (const struct plan *plan);

/* Whether requests need MODEL and no engine may serve them: they wait, or are
   rejected at once because a load takes longer than their callers wait.  */
bool planner_work_is_lacking (const struct plan_model *model);

/* Requests that a load of MODEL may save, weighted by priority: those that
   wait, and if there is no replica those to come.  */
double planner_work_lost_weight (const struct plan_model *model);

/* Number of replicas that MODEL should have: one more than now while requests
   are delayed too much.  */
unsigned planner_work_needed (const struct plan *plan,
                              const struct plan_model *model);

/* Value of the replica of MODEL on ENGINE.  */
double planner_work_value (const struct plan *plan,
                           const struct planner_engine *engine,
                           const struct plan_model *model);

/* Number of engines that should have an adapter of MODEL which gets PER_S
   requests a second; not more than those that have the model.  */
unsigned planner_work_needed_adapters (const struct plan_model *model,
                                       double per_s);

/* What a replica more of MODEL saves the requests that stay at the others.  */
double planner_work_benefit (const struct plan_model *model);

/* What a replica of MODEL on ENGINE delays the requests that would move there,
   and those for the models that ENGINE has.  Less than 0: it saves them
   that.  */
double planner_work_place_cost (const struct planner_engine *engine,
                                const struct plan_model *model);

/* -planner_work_place_cost is not greater than this.  */
double planner_work_most_saved (const struct plan_model *model);

/* Key=value pairs for the log, with a blank before each; the caller frees with
   g_free.  */
char *planner_work_reason (const struct planner_engine *engine,
                           const struct plan_model *model);

#endif
