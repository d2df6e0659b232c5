#include <limits.h>
#include <math.h>
#include <string.h>
#include "planner_round.h"
#include "ts.h"

#define USED_S 0.5 /* a request for an adapter runs at least so long */

static bool
waited_for (const struct plan *plan, const char *target)
{
  const struct planner_waiting *want;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->wants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&want))
    if (strcmp (want->target, target) == 0)
      return true;
  return false;
}

/* Seconds since a request for TARGET came or was sent.  */
static double
idle_s (const struct plan *plan, const char *target)
{
  const struct planner *planner = plan->planner;

  return MIN (rates_idle_s (planner->demand, target, plan->now),
              rates_idle_s (planner->sent, target, plan->now));
}

/* An adapter that may go from ENGINE: the longest not called, which no request
   is likely to use; an engine takes no order while it waits for those that do.
   None that requests wait for.  *MODEL is its model.  */
static const char *
adapter_victim (const struct plan *plan, const struct planner_engine *engine,
                const char **model)
{
  const char *victim = NULL;
  double longest = USED_S;

  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->held->models, i);

      for (guint j = 0; j < held->adapters->len; j++)
        {
          const char *adapter = g_ptr_array_index (held->adapters, j);
          char *target = servers_target (held->name, adapter);
          double idle = waited_for (plan, target) ? 0 : idle_s (plan, target);

          g_free (target);
          if (idle <= longest)
            continue;
          longest = idle;
          victim = adapter;
          *model = held->name;
        }
    }
  return victim;
}

static unsigned
adapter_replicas (const struct plan *plan, const char *model,
                  const char *adapter)
{
  const struct planner_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      const struct planner_order *order = &engine->order;

      if (engine->leaving)
        continue;
      n += inventory_has (engine->held, model, adapter);
      n += order->stage != STAGE_NONE && order->type == BACKEND_ADAPTER_LOAD
           && strcmp (order->model, model) == 0
           && strcmp (order->adapter, adapter) == 0;
    }
  return n;
}

/* The engine with MODEL that has most room for an adapter.  */
static struct planner_engine *
adapter_engine (const struct plan *plan, const char *model,
                const char *adapter)
{
  struct planner_engine *best = NULL;
  struct planner_engine *engine;
  unsigned least = UINT_MAX;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      unsigned n = inventory_adapter_slots_used (engine->held);

      if (!planner_can_order (engine, plan->now) || n >= least
          || !inventory_has (engine->held, model, NULL)
          || inventory_has (engine->held, model, adapter))
        continue;
      best = engine;
      least = n;
    }
  return best;
}

static void
place_adapter (struct plan *plan, const char *model, const char *adapter,
               const char *cause, bool evict)
{
  struct planner_engine *engine = adapter_engine (plan, model, adapter);
  const char *victim;
  const char *of = NULL;

  if (engine == NULL)
    return;
  if (inventory_adapter_slots_used (engine->held)
      < plan->planner->service->adapter_slots)
    {
      planner_issue_order (plan->planner, engine, BACKEND_ADAPTER_LOAD, model,
                           adapter, g_strdup_printf ("cause=%s", cause),
                           plan->now, plan->out);
      return;
    }
  if (ts_before (plan->now, engine->settled_at) || engine->held->coming > 0)
    return;
  victim = evict ? adapter_victim (plan, engine, &of) : NULL;
  if (victim != NULL)
    planner_issue_order (
        plan->planner, engine, BACKEND_ADAPTER_UNLOAD, of, victim,
        g_strdup_printf ("cause=room for=%s/%s", model, adapter), plan->now,
        plan->out);
}

void
planner_place_waiting_adapters (struct plan *plan)
{
  const struct planner_waiting *want;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->wants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&want))
    {
      const char *slash = strchr (want->target, '/');
      char *model;

      if (slash == NULL)
        continue;
      model = g_strndup (want->target, (gsize)(slash - want->target));
      if (plan_model (plan, model) != NULL
          && adapter_replicas (plan, model, slash + 1) == 0)
        place_adapter (plan, model, slash + 1, "waiting", true);
      g_free (model);
    }
}

/* An adapter that is called more often than one engine should serve gets
   another place where one is free.  */
static void
add_adapter (void *user, const char *target, double count)
{
  struct plan *plan = user;
  const char *slash = strchr (target, '/');
  unsigned need
      = (unsigned)ceil (count / RATES_TIME_CONSTANT_S * PLANNER_REQUEST_S
                        / PLANNER_MAX_UTILIZATION);
  char *model;

  if (slash == NULL || need < 2)
    return;
  model = g_strndup (target, (gsize)(slash - target));
  if (plan_model (plan, model) != NULL
      && adapter_replicas (plan, model, slash + 1) < need)
    place_adapter (plan, model, slash + 1, "calls", false);
  g_free (model);
}

void
planner_replicate_adapters (struct plan *plan)
{
  rates_each (plan->planner->demand, plan->now, add_adapter, plan);
}
