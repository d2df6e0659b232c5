#include "planner_choice.h"

#include <string.h>
#include "planner_value.h"
#include "planner_work.h"
#include "ts.h"

/* Time until an engine accepts an order after a single one.  */
#define SETTLE_S 0.3
/* Cost of each second of a model load for each request a second whose adapter
   may have to wait for it.  */
#define ADAPTER_DELAY_VALUE 0.3
/* Cost of a replica on an engine that is short of its limit, which a model
   gets only if it has none: more than most evictions elsewhere.  */
#define SHORT_COST 100.0

bool
planner_is_short (const struct plan *plan, const struct planner_engine *engine)
{
  double per_s = 0;

  if (engine->limit_per_s <= 0)
    return false;
  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);
      const struct plan_model *model = plan_model (plan, held->name);

      if (model != NULL)
        per_s += model->per_s / MAX (model->loaded, 1);
    }
  return per_s > engine->limit_per_s;
}

/* Seconds until ENGINE accepts an order for another model.  */
static double
engine_busy_s (const struct plan *plan, const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  double left_s = 0;

  if (planner_can_order (engine, plan->now) && engine->next_model == NULL)
    return 0;
  if (order->stage == STAGE_RUNNING)
    left_s = ts_to_s (ts_sub (order->ready_at, plan->now));
  return MAX (left_s, 0)
         + (engine->next_model != NULL ? PLANNER_MAKE_ROOM_S : SETTLE_S);
}

/* Request rate of the models on ENGINE that have adapters: the engine cannot
   exchange adapters while it loads a model.  */
static double
adapter_request_rate (const struct plan *plan,
                      const struct planner_engine *engine)
{
  double per_s = 0;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);
      const struct plan_model *model = plan_model (plan, held->name);

      if (model != NULL && model->site->adapters > 0)
        per_s += model->per_s / MAX (model->loaded, 1);
    }
  return per_s;
}

struct planner_candidate
planner_choose_engine (const struct plan *plan, const struct site_model *model,
                       const char *software, bool fetch)
{
  struct planner_candidate best = { .loss = PLANNER_PINNED_VALUE };
  unsigned replicas = plan_model (plan, model->name)->replicas;
  double least_loss
      = plan->by_delay
            ? -planner_work_most_saved (plan_model (plan, model->name))
            : 0;
  struct planner_engine *engine;
  GHashTableIter iter;
  double least = PLANNER_PINNED_VALUE;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      struct planner_candidate candidate = { .engine = engine };
      double cost;

      if (!engine->has_report || engine->leaving
          || !plan_has_software (engine, software)
          || inventory_model (engine->inventory, model->name) != NULL
          || (replicas > 0 && planner_is_short (plan, engine)))
        continue;
      candidate.busy_s = engine_busy_s (plan, engine);
      if (candidate.busy_s + least_loss >= least)
        continue;
      candidate.load_s = planner_load_s (engine, model, &candidate.fetches);
      if (candidate.fetches && !fetch)
        continue;
      /* The loss is not lower than LEAST_LOSS.  */
      if (candidate.busy_s + candidate.load_s + least_loss >= least)
        continue;
      candidate.loss = planner_eviction_loss (plan, engine, model)
                       + ADAPTER_DELAY_VALUE * candidate.load_s
                             * adapter_request_rate (plan, engine);
      if (plan->by_delay)
        candidate.loss += planner_work_place_cost (
            engine, plan_model (plan, model->name));
      cost = candidate.busy_s + candidate.load_s + candidate.loss;
      if (planner_is_short (plan, engine))
        cost += SHORT_COST;
      if (cost >= least)
        continue;
      least = cost;
      best = candidate;
    }
  return best;
}
