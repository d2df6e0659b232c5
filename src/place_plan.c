#include "place_state.h"

#include <math.h>
#include "ts.h"

#define NO_DEADLINE_SLACK_S 60.0 /* maximum, and for min_replicas */
#define SLOTS_DEFAULT 4 /* per replica, while no engine reported them */

static void
count_replicas (const struct place_target *target, struct place_demand *demand)
{
  const struct place_copy *copy;

  demand->slots = SLOTS_DEFAULT;
  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (!place_copy_usable (copy))
        continue;
      if (copy->state == BACKEND_COPY_LOADED)
        demand->loaded++;
      else
        demand->loading++;
      if (copy->engine->slots > 0)
        demand->slots = copy->engine->slots;
    }
}

struct place_demand
place_demand_of (const struct place *place, const struct place_target *target,
                 struct timespec now)
{
  struct place_demand demand = { 0 };
  const struct place_waiters *waiters;

  demand.load_s = place_reload_s (place, target);
  demand.priority = target->priority;
  demand.slack_s = NO_DEADLINE_SLACK_S;
  CK_LIST_FOREACH (waiters, &target->waiters, link)
    {
      double left_s = ts_to_s (ts_sub (waiters->deadline, now));
      double waited_s = ts_to_s (ts_sub (now, waiters->since));

      demand.waiting += waiters->waiting;
      demand.priority = MAX (demand.priority, waiters->priority);
      demand.slack_s = fmin (demand.slack_s, left_s - demand.load_s);
      demand.waited_s = fmax (demand.waited_s, waited_s);
    }
  count_replicas (target, &demand);
  return demand;
}

static bool
needs_load (struct place *place, struct place_target *target,
            struct timespec now)
{
  struct place_demand demand = place_demand_of (place, target, now);
  unsigned replicas = demand.loaded + demand.loading;

  target->load_order
      = place->policy->ops->load_order_key (place->policy, &demand);
  if (!place_may_add_replica (place, target))
    return false;
  if (ts_before (now, target->retry_at))
    return false;
  if (replicas < target->min_replicas)
    return true;
  if (target->waiting_count == 0)
    return false;
  return replicas == 0 || target->lacks_adapter_room
         || place->policy->ops->worth_replica (place->policy, &demand);
}

static gint
compare_load_order (gconstpointer a, gconstpointer b)
{
  const struct place_target *x = *(struct place_target *const *)a;
  const struct place_target *y = *(struct place_target *const *)b;

  if (x->load_order != y->load_order)
    return x->load_order < y->load_order ? -1 : 1;
  return g_strcmp0 (x->name, y->name);
}

static void
plan_models (struct place *place, struct timespec now, struct action_list *out)
{
  GPtrArray *to_load = g_ptr_array_new ();
  struct place_target *target;

  CK_LIST_FOREACH (target, &place->demanded, demand_link)
    {
      if (!target->adapter && target->version != NULL
          && needs_load (place, target, now))
        g_ptr_array_add (to_load, target);
    }
  g_ptr_array_sort (to_load, compare_load_order);
  for (guint i = 0; i < to_load->len; i++)
    {
      target = g_ptr_array_index (to_load, i);
      place_load_on_best_engine (place, target, true, now, out,
                                 target->waiting_count > 0 ? "waiting"
                                                           : "minimum");
    }
  g_ptr_array_free (to_load, TRUE);
}

static bool
has_usable_copy (const struct place_target *adapter)
{
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &adapter->copies, target_link)
    {
      if (place_copy_usable (copy) && place_copy_current (copy))
        return true;
    }
  return false;
}

/* The least busy engine that has the base model loaded and room for ADAPTER;
   NULL if there is none.  */
static struct place_engine *
choose_adapter_engine (const struct place_target *adapter)
{
  struct place_engine *best = NULL;
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &adapter->base->copies, target_link)
    {
      struct place_engine *engine = copy->engine;

      if (copy->state != BACKEND_COPY_LOADED || engine->leaving)
        continue;
      if (g_hash_table_contains (engine->copies, adapter->checkpoint))
        continue;
      if (place_engine_free (engine) < adapter->memory_mb)
        continue;
      if (best == NULL || engine->running < best->running)
        best = engine;
    }
  return best;
}

/* The least recently used idle adapter on ENGINE; NULL if there is none.  */
static struct place_copy *
least_recent_adapter (const struct place_engine *engine)
{
  struct place_copy *oldest = NULL;
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &engine->list, engine_link)
    {
      if (!copy->target->adapter || copy->order != NULL || copy->active > 0
          || copy->target->waiting_count > 0
          || copy->state != BACKEND_COPY_LOADED)
        continue;
      if (oldest == NULL || ts_before (copy->used_at, oldest->used_at))
        oldest = copy;
    }
  return oldest;
}

/* Makes room for ADAPTER beside its base model: unloads the least recently
   used adapter if that frees enough, otherwise idle models.  Returns false
   when neither is possible.  */
static bool
make_adapter_room (struct place *place, struct place_target *adapter,
                   struct timespec now, struct action_list *out)
{
  static const char reason[] = "cause=room_for_adapter";
  const struct place_copy *base;

  CK_LIST_FOREACH (base, &adapter->base->copies, target_link)
    {
      struct place_engine *engine = base->engine;
      struct place_copy *oldest;

      if (base->state != BACKEND_COPY_LOADED || engine->leaving)
        continue;
      if (place_engine_free (engine) + engine->unloading_mb
          >= adapter->memory_mb)
        return true;
      oldest = least_recent_adapter (engine);
      if (oldest != NULL
          && place_engine_free (engine) + oldest->memory_mb
                 >= adapter->memory_mb)
        {
          place_unload (place, oldest, now, out, reason);
          return true;
        }
      if (place_make_room (place, engine, adapter->memory_mb, now, out,
                           reason))
        return true;
    }
  return false;
}

static bool
may_load_adapter (const struct place *place,
                  const struct place_target *adapter, struct timespec now)
{
  return !ts_before (now, adapter->retry_at)
         && place->adapter_loads_in_flight < place->adapters_at_once;
}

static bool
base_is_loaded (const struct place_target *adapter)
{
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &adapter->base->copies, target_link)
    {
      if (copy->state == BACKEND_COPY_LOADED && !copy->engine->leaving)
        return true;
    }
  return false;
}

/* Reserves memory on an engine with the base model for an adapter that could
   not be ordered yet.  */
static void
reserve_adapter_room (struct place_target *adapter)
{
  struct place_target *base = adapter->base;
  struct place_copy *copy;

  base->adapter_mb = MAX (base->adapter_mb, adapter->memory_mb);
  CK_LIST_FOREACH (copy, &base->copies, target_link)
    if (place_copy_usable (copy))
      {
        copy->engine->reserved_mb += adapter->memory_mb;
        return;
      }
}

static void
load_adapter (struct place *place, struct place_target *adapter,
              struct place_engine *engine, struct timespec now,
              struct action_list *out)
{
  char *reason = g_strdup_printf (
      "cause=waiting waiting=%u running=%u free_mb=%" G_GUINT64_FORMAT
      " fetching=%u",
      adapter->waiting_count, engine->running, place_engine_free (engine),
      place->adapter_loads_in_flight);

  place_emit_load (place, engine, adapter, now, out, reason);
  g_free (reason);
}

static void
plan_adapter (struct place *place, struct place_target *adapter,
              struct timespec now, struct action_list *out)
{
  struct place_engine *engine = choose_adapter_engine (adapter);

  if (engine != NULL && may_load_adapter (place, adapter, now))
    {
      load_adapter (place, adapter, engine, now, out);
      return;
    }
  if (engine == NULL && base_is_loaded (adapter)
      && !make_adapter_room (place, adapter, now, out))
    adapter->base->lacks_adapter_room = true;
  reserve_adapter_room (adapter);
}

static void
plan_adapters (struct place *place, struct timespec now,
               struct action_list *out)
{
  struct place_target *target;

  CK_LIST_FOREACH (target, &place->demanded, demand_link)
    {
      if (target->adapter && target->base != NULL && target->version != NULL
          && target->waiting_count > 0 && !has_usable_copy (target))
        plan_adapter (place, target, now, out);
    }
}

void
place_plan (struct place *place, struct timespec now, struct action_list *out)
{
  GHashTableIter iter;
  gpointer engine;
  struct place_target *target;

  g_hash_table_iter_init (&iter, place->engines);
  while (g_hash_table_iter_next (&iter, NULL, &engine))
    ((struct place_engine *)engine)->reserved_mb = 0;
  CK_LIST_FOREACH (target, &place->demanded, demand_link)
    {
      target->adapter_mb = 0;
      target->lacks_adapter_room = false;
    }
  CK_STAILQ_CONCAT (out, &place->settled);
  plan_adapters (place, now, out);
  plan_models (place, now, out);
}
