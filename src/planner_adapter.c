#include <limits.h>
#include <math.h>
#include <string.h>
#include "planner_round.h"
#include "planner_work.h"
#include "ts.h"

/* An adapter that got a request within this time is assumed to be in use.  */
#define ADAPTER_IN_USE_S 0.5
/* Planned by delay: more engines are found for an adapter in one of as many
   rounds.  */
#define TURNS 16

static bool
has_waiting_requests (const struct plan *plan, const char *target)
{
  const struct planner_waiting *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->waiting);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    if (strcmp (entry->target, target) == 0)
      return true;
  return false;
}

/* Seconds since a request for TARGET arrived or was dispatched.  */
static double
idle_s (const struct plan *plan, const char *target)
{
  const struct planner *planner = plan->planner;

  return MIN (rates_idle_s (planner->arrivals, target, plan->now),
              rates_idle_s (planner->dispatched, target, plan->now));
}

/* The adapter to evict from ENGINE, NULL if there is none: the one idle for
   longest that no request waits for and probably none is running on, because
   an engine accepts no order while an unload waits for running requests.
   Sets *MODEL to its model.  */
static const char *
choose_adapter_victim (const struct plan *plan,
                       const struct planner_engine *engine, const char **model)
{
  const char *victim = NULL;
  double longest_s = ADAPTER_IN_USE_S;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);

      for (guint j = 0; j < held->adapters->len; j++)
        {
          const char *adapter = g_ptr_array_index (held->adapters, j);
          char *target = servers_target (held->name, adapter);
          double idle_time_s = has_waiting_requests (plan, target)
                                   ? 0
                                   : idle_s (plan, target);

          g_free (target);
          if (idle_time_s <= longest_s)
            continue;
          longest_s = idle_time_s;
          victim = adapter;
          *model = held->name;
        }
    }
  return victim;
}

/* Number of engines with SOFTWARE, NULL: any version, on which ADAPTER is
   loaded or being loaded.  SHORT_TOO: those that are short count.  */
static unsigned
adapter_replicas (const struct plan *plan, const char *model,
                  const char *adapter, const char *software, bool short_too)
{
  const struct planner_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      const struct planner_order *order = &engine->order;

      if (engine->leaving || !plan_has_software (engine, software)
          || (!short_too && planner_is_short (plan, engine)))
        continue;
      n += inventory_has (engine->inventory, model, adapter);
      n += order->stage != STAGE_NONE && order->type == BACKEND_ADAPTER_LOAD
           && strcmp (order->model, model) == 0
           && strcmp (order->adapter, adapter) == 0;
    }
  return n;
}

/* The engine with the fewest adapters among those with SOFTWARE, NULL: any
   version, that have MODEL but not ADAPTER, and are short or not.  */
static struct planner_engine *
choose_from (const struct plan *plan, const char *model, const char *adapter,
             const char *software, bool is_short)
{
  struct planner_engine *best = NULL;
  struct planner_engine *engine;
  unsigned fewest = UINT_MAX;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      unsigned n = inventory_adapter_slots_used (engine->inventory);

      if (!planner_can_order (engine, plan->now) || n >= fewest
          || !plan_has_software (engine, software)
          || !inventory_has (engine->inventory, model, NULL)
          || inventory_has (engine->inventory, model, adapter)
          || planner_is_short (plan, engine) != is_short)
        continue;
      best = engine;
      fewest = n;
    }
  return best;
}

/* A short engine is chosen only if no other one can have ADAPTER, and none has
   it.  */
static struct planner_engine *
choose_adapter_engine (const struct plan *plan, const char *model,
                       const char *adapter, const char *software)
{
  struct planner_engine *engine
      = choose_from (plan, model, adapter, software, false);

  if (engine == NULL
      && adapter_replicas (plan, model, adapter, software, true) == 0)
    engine = choose_from (plan, model, adapter, software, true);
  return engine;
}

/* Loads ADAPTER on an engine with SOFTWARE, NULL: any version, that has MODEL,
   or, with EVICT, first unloads another adapter there.  */
static void
load_adapter (struct plan *plan, const char *model, const char *adapter,
              const char *software, const char *cause, bool evict)
{
  struct planner_engine *engine
      = choose_adapter_engine (plan, model, adapter, software);
  const char *victim;
  const char *victim_model = NULL;

  if (engine == NULL)
    return;
  if (inventory_adapter_slots_used (engine->inventory)
      < plan->planner->service->adapter_slots)
    {
      planner_issue_order (plan->planner, engine, BACKEND_ADAPTER_LOAD, model,
                           adapter, g_strdup_printf ("cause=%s", cause),
                           plan->now, plan->out);
      return;
    }
  if (ts_before (plan->now, engine->adapters_settled_at)
      || engine->inventory->loading_adapters > 0)
    return;
  victim = evict ? choose_adapter_victim (plan, engine, &victim_model) : NULL;
  if (victim != NULL)
    planner_issue_order (
        plan->planner, engine, BACKEND_ADAPTER_UNLOAD, victim_model, victim,
        g_strdup_printf ("cause=room for=%s/%s", model, adapter), plan->now,
        plan->out);
}

void
planner_load_waiting_adapters (struct plan *plan)
{
  const struct planner_waiting *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->waiting);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      const char *slash = strchr (entry->target, '/');
      char *model;

      if (slash == NULL)
        continue;
      model = g_strndup (entry->target, (gsize)(slash - entry->target));
      if (plan_model (plan, model) != NULL
          && adapter_replicas (plan, model, slash + 1, entry->software, false)
                 == 0)
        load_adapter (plan, model, slash + 1, entry->software, "waiting",
                      true);
      g_free (model);
    }
}

/* Number of engines that should have an adapter of the model NAME which gets
   PER_S requests a second.  */
static unsigned
needed_adapters (const struct plan *plan, const char *name, double per_s)
{
  const struct plan_model *model = plan_model (plan, name);

  if (model == NULL)
    return 0;
  if (plan->by_delay)
    return planner_work_needed_adapters (model, per_s);
  return (unsigned)ceil (per_s * plan->planner->request_s
                         / PLANNER_MAX_UTILIZATION);
}

/* Loads the adapter on one more engine if its request rate needs more than it
   has.  Evicts nothing.  */
static void
replicate_adapter (void *user, const char *target, double count)
{
  struct plan *plan = user;
  unsigned needed;
  const char *slash = strchr (target, '/');
  char *model;

  if (slash == NULL
      || (plan->by_delay
          && (plan->adapter_targets++ + plan->planner->rounds) % TURNS != 0))
    return;
  model = g_strndup (target, (gsize)(slash - target));
  needed = needed_adapters (plan, model, count / RATES_TIME_CONSTANT_S);
  if (needed > 1
      && adapter_replicas (plan, model, slash + 1, NULL, false) < needed)
    load_adapter (plan, model, slash + 1, NULL, "calls", false);
  g_free (model);
}

void
planner_replicate_adapters (struct plan *plan)
{
  rates_each (plan->planner->arrivals, plan->now, replicate_adapter, plan);
}
