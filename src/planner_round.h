/* planner_run_round - one round of planning, as the modules planner_run_round
   and stock_adapter share it.  Private to them.  */

#ifndef PARSLEYRILL_PLANNER_ROUND_H
#define PARSLEYRILL_PLANNER_ROUND_H

#include <string.h>
#include "planner_state.h"

/* Engine seconds that a call takes, in the mean over prompt and answer, and
   the share of an engine's time that calls of one model may fill: from
   engines that read 38,700 prompt tokens a second.  */
#define PLANNER_REQUEST_S 0.12
#define PLANNER_MAX_UTILIZATION 0.4

/* A model in this round.  */
struct plan_model
{
  const struct site_model *site;
  double per_s;
  unsigned replicas; /* loaded or being loaded, on engines that stay */
  unsigned loaded;
  unsigned waiting;    /* requests, adapters' included */
  unsigned priority;   /* of the most urgent */
  bool at_hand;        /* some engine has its weights in memory or on disk */
  bool planned;        /* room is being made for it */
  bool valued;         /* the next two are known in this round */
  double value_memory; /* lost when it leaves an engine whose host has it */
  double value_disk;   /* or has it on disk */
};

struct plan
{
  struct planner *planner;
  struct timespec now;
  struct action_list *out;
  GHashTable *models; /* name to struct plan_model */
  unsigned foreign;   /* planner_previous_fetches */
};

static inline struct plan_model *
plan_model (const struct plan *plan, const char *name)
{
  return g_hash_table_lookup (plan->models, name);
}

/* stock_adapter.c */

/* Adapters that requests wait for; afterwards those that are called more often
   than one engine should serve.  */
void planner_place_waiting_adapters (struct plan *plan);
void planner_replicate_adapters (struct plan *plan);

#endif
