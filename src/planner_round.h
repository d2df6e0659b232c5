/* planner_round - one round of planning, as the modules planner_round and
   planner_adapter share it.  Private to them.  */

#ifndef PARSLEYRILL_PLANNER_ROUND_H
#define PARSLEYRILL_PLANNER_ROUND_H

#include <string.h>
#include "planner_state.h"

/* Engine seconds per request, mean over prompt and answer, and the share of an
   engine's time that requests for one model may use: for engines that read
   38,700 prompt tokens a second.  */
#define PLANNER_REQUEST_S 0.12
#define PLANNER_MAX_UTILIZATION 0.4

/* A model in this round.  */
struct plan_model
{
  const struct site_model *site;
  double per_s;
  unsigned replicas; /* loaded or being loaded, on engines that stay */
  unsigned loaded;
  unsigned waiting;    /* requests, those for its adapters included */
  unsigned priority;   /* of the most urgent */
  bool has_local_copy; /* an engine has its weights in memory or on disk */
  bool pending;        /* an engine is making room for it */
  bool values_known;   /* the next two are set in this round */
  double
      value_if_in_memory;  /* of a replica whose host memory has the weights */
  double value_if_on_disk; /* of any other replica */
};

struct plan
{
  struct planner *planner;
  struct timespec now;
  struct action_list *out;
  GHashTable *models;        /* name to struct plan_model */
  unsigned previous_fetches; /* planner_previous_fetches */
};

static inline struct plan_model *
plan_model (const struct plan *plan, const char *name)
{
  return g_hash_table_lookup (plan->models, name);
}

/* planner_adapter.c */

/* Loads adapters that requests wait for.  */
void planner_place_waiting_adapters (struct plan *plan);
/* Loads adapters that get more requests than their engines should serve on
   further engines.  */
void planner_replicate_adapters (struct plan *plan);

#endif
