#include "planner_value.h"

#include <math.h>
#include <string.h>
#include "planner_work.h"
#include "ts.h"

/* Minimum value of a replica that is not surplus, whatever its request rate:
   its reload occupies the engine and may delay other loads.  */
#define BASE_VALUE 0.3
#define SURPLUS_VALUE 0.05 /* of a replica beyond the number needed */
#define START_REPLICAS 3   /* kept per model while rates are unknown */
/* From the first request until request rates are known.  */
#define RATES_LEARNING_S 10.0
/* A request that arrived within this time may not run yet.  An unload waits
   only for running requests, so that this one would be rejected.  */
#define STARTING_S 1.5
#define STARTING_VALUE 3.0
/* A model is not evicted soon after it has been loaded, unless for many
   requests: a load takes longer than what it was for.  */
#define RECENT_S 4.0
#define RECENT_VALUE 30.0

/* Whether request rates are not known yet.  */
bool
planner_rates_unknown (const struct plan *plan)
{
  const struct planner *planner = plan->planner;

  return ts_is_zero (planner->first_request_at)
         || ts_to_s (ts_sub (plan->now, planner->first_request_at))
                < RATES_LEARNING_S;
}

unsigned
planner_needed_replicas (const struct plan *plan,
                         const struct plan_model *model)
{
  unsigned n;

  if (plan->by_delay)
    return planner_work_needed (plan, model);
  n = (unsigned)ceil (model->per_s * plan->planner->request_s
                      / PLANNER_MAX_UTILIZATION);

  if (planner_rates_unknown (plan))
    n = MAX (n, MIN (model->loaded, START_REPLICAS));
  return n;
}

static double
compute_value (const struct plan *plan, const struct plan_model *model,
               double reload_s)
{
  /* Other replicas take over a part of the requests.  */
  double delay_value
      = model->per_s * PLANNER_HORIZON_S * reload_s / MAX (model->loaded, 1);

  if (model->waiting > 0
      || rates_idle_s (plan->planner->dispatched, model->site->name, plan->now)
             < STARTING_S)
    return PLANNER_PINNED_VALUE;
  if (model->loaded > 1
      && model->loaded > planner_needed_replicas (plan, model))
    return SURPLUS_VALUE * (1.0 + model->per_s);
  if (rates_idle_s (plan->planner->arrivals, model->site->name, plan->now)
      < STARTING_S)
    return STARTING_VALUE + delay_value;
  return BASE_VALUE + delay_value;
}

static double
value_by_rate (const struct plan *plan, const struct planner_engine *engine,
               struct plan_model *model)
{
  if (!model->values_known)
    {
      model->value_if_in_memory
          = compute_value (plan, model, model->site->memory_s);
      model->value_if_on_disk
          = compute_value (plan, model, model->site->disk_s);
      model->values_known = true;
    }
  return inventory_name_listed (engine->inventory->in_memory,
                                model->site->name)
             ? model->value_if_in_memory
             : model->value_if_on_disk;
}

/* Value lost when the model NAME is evicted from ENGINE.  */
static double
replica_value (const struct plan *plan, const struct planner_engine *engine,
               const char *name)
{
  struct plan_model *model = plan_model (plan, name);
  double value;

  if (model == NULL)
    return 0;
  value = plan->by_delay ? planner_work_value (plan, engine, model)
                         : value_by_rate (plan, engine, model);
  if (g_strcmp0 (engine->last_loaded, name) == 0
      && ts_to_s (ts_sub (plan->now, engine->loaded_at)) < RECENT_S)
    value += RECENT_VALUE;
  return value;
}

const char *
planner_choose_victim (const struct plan *plan,
                       const struct planner_engine *engine,
                       const GPtrArray *excluded, double *value)
{
  const char *victim = NULL;

  *value = PLANNER_PINNED_VALUE;
  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);
      double v = replica_value (plan, engine, held->name);

      if (v >= *value
          || (excluded != NULL
              && inventory_name_listed (excluded, held->name)))
        continue;
      *value = v;
      victim = held->name;
    }
  return victim;
}

double
planner_eviction_loss (const struct plan *plan,
                       const struct planner_engine *engine,
                       const struct site_model *model)
{
  int64_t left = planner_free_mb (plan->planner, engine);
  GPtrArray *excluded;
  double loss = 0;

  if (left >= (int64_t)model->memory_mb)
    return 0;
  excluded = g_ptr_array_new ();
  while (left < (int64_t)model->memory_mb)
    {
      double value;
      const char *victim
          = planner_choose_victim (plan, engine, excluded, &value);
      const struct plan_model *evicted;

      if (victim == NULL)
        {
          loss = PLANNER_PINNED_VALUE;
          break;
        }
      evicted = plan_model (plan, victim);
      left += evicted != NULL ? (int64_t)evicted->site->memory_mb
                              : (int64_t)plan->planner->service->memory_mb;
      loss += value;
      g_ptr_array_add (excluded, (gpointer)victim);
    }
  g_ptr_array_unref (excluded);
  return loss;
}
