/* planner_round - state of one round of planning, shared by the modules
   planner_round, planner_value, planner_choice and planner_adapter.  Private
   to them.  */

#ifndef PARSLEYRILL_PLANNER_ROUND_H
#define PARSLEYRILL_PLANNER_ROUND_H

#include <string.h>
#include "planner_state.h"

/* The maximum share of an engine's time that requests for one model may
   use.  */
#define PLANNER_MAX_UTILIZATION 0.4

/* A model in this round.  */
struct plan_model
{
  const struct site_model *site;
  double per_s;      /* request rate */
  unsigned replicas; /* loaded or being loaded, on engines that stay */
  unsigned loaded;
  unsigned unlimited;  /* of REPLICAS, those on engines that are not short */
  unsigned waiting;    /* requests, those for its adapters included */
  double waited_s;     /* since the first of them began to wait */
  unsigned priority;   /* of the most urgent; 0 is the highest */
  bool has_local_copy; /* an engine that stays has its weights in memory or on
                          disk */
  bool pending;        /* an engine evicts models to load it */
  unsigned places_pending; /* engines that make room for it */
  /* The next ones only if BY_DELAY of the plan; see planner_work.h.  */
  const struct planner_delay_requests *requests; /* never NULL then */
  struct planner_delay_work unit;  /* work of one request a second */
  double weight;                   /* of a request, by priority */
  double waiting_weight;           /* sum over WAITING */
  double urgency;                  /* weighted number of requests that wait */
  double speed;                    /* left, summed over the replicas */
  double pace;                     /* mean of the engines with a replica */
  struct planner_delay_work other; /* mean of other models' work there */
  double cost_s;     /* the same, with what late requests count */
  double delay_s;    /* mean until the first event */
  bool leads;        /* some engine reads for no model more */
  unsigned needed;   /* replicas, so that delays are within the objectives */
  bool values_known; /* the next ones have been computed */
  /* Value of a replica on an engine that has the weights in host memory, and
     on any other engine.  Not set if BY_DELAY.  */
  double value_if_in_memory;
  double value_if_on_disk;
};

/* A replica that is loaded or will be.  */
struct plan_place
{
  struct plan_model *model;
  struct planner_engine *engine;
  double share;       /* of the requests for MODEL */
  double speed;       /* that the requests for other models leave */
  double value;       /* when MODEL had VALUED_AT loaded replicas */
  unsigned valued_at; /* 0: VALUE is not set */
};

struct plan
{
  struct planner *planner;
  struct timespec now;
  struct action_list *out;
  GHashTable *models; /* name to struct plan_model */
  struct plan_model *model_array;
  GArray
      *places; /* BY_DELAY: struct plan_place, those of an engine in a row */
  unsigned previous_fetches; /* see planner_previous_fetches */
  /* Engines tell their pace: replicas are planned by delay.  */
  bool by_delay;
  bool is_empty;            /* BY_DELAY: no model is loaded or being loaded */
  bool lacks_replicas;      /* BY_DELAY: requests for some model are delayed */
  bool partial;             /* BY_DELAY: only for what waits */
  unsigned adapter_targets; /* that were examined in this round */
};

static inline struct plan_model *
plan_model (const struct plan *plan, const char *name)
{
  return g_hash_table_lookup (plan->models, name);
}

/* Whether ENGINE may serve requests for SOFTWARE, NULL: any version.  */
static inline bool
plan_has_software (const struct planner_engine *engine, const char *software)
{
  return software == NULL || strcmp (engine->software, software) == 0;
}

/* planner_choice.c */

/* Whether ENGINE names a limit that is lower than the request rate of the
   models on it.  */
bool planner_is_short (const struct plan *plan,
                       const struct planner_engine *engine);

/* planner_adapter.c */

/* Loads adapters that requests wait for.  */
void planner_load_waiting_adapters (struct plan *plan);
/* Loads adapters that get more requests than their engines should serve on
   further engines.  */
void planner_replicate_adapters (struct plan *plan);

#endif
