#include "place_state.h"

#include <string.h>
#include "ts.h"

#define LOAD_SLOWDOWN_WEIGHT 0.1 /* of a new sample in the moving average */
#define LOAD_SLOWDOWN_MAX 16.0
#define LOAD_TIME_RATIO_WEIGHT 0.5 /* of a new sample */
#define SURGE_REPLICAS 1           /* above the limit, while one is replaced */

double
place_wall_s (const struct place *place, struct timespec now)
{
  return ts_to_s (ts_add (now, place->wall_offset));
}

static uint64_t
kv_reserve_of (const struct place_target *target)
{
  return target->adapter ? 0 : target->kv_reserve_mb;
}

struct place_copy *
place_copy_new (struct place_engine *engine, struct place_target *target,
                const char *version, uint64_t memory_mb,
                enum backend_copy_state state, struct timespec now)
{
  struct place_copy *copy = g_new0 (struct place_copy, 1);

  copy->engine = engine;
  copy->target = target;
  copy->key = g_strdup_printf ("%s@%s", target->name, version);
  copy->version = copy->key + strlen (target->name) + 1;
  copy->state = state;
  copy->memory_mb = memory_mb + kv_reserve_of (target);
  copy->used_at = now;
  CK_LIST_INSERT_HEAD (&engine->list, copy, engine_link);
  CK_LIST_INSERT_HEAD (&target->copies, copy, target_link);
  g_hash_table_insert (engine->copies, copy->key, copy);
  target->copy_count++;
  engine->held_mb += copy->memory_mb;
  if (state == BACKEND_COPY_LOADING)
    engine->loading++;
  if (state == BACKEND_COPY_UNLOADING)
    engine->unloading_mb += copy->memory_mb;
  return copy;
}

void
place_copy_set_state (struct place_copy *copy, enum backend_copy_state state)
{
  struct place_engine *engine = copy->engine;

  if (copy->state == BACKEND_COPY_LOADING)
    engine->loading--;
  if (copy->state == BACKEND_COPY_UNLOADING)
    engine->unloading_mb -= copy->memory_mb;
  copy->state = state;
  if (state == BACKEND_COPY_LOADING)
    engine->loading++;
  if (state == BACKEND_COPY_UNLOADING)
    engine->unloading_mb += copy->memory_mb;
}

/* Raises the size of COPY to the reported MEMORY_MB.  It is never lowered,
   since placement was decided with the larger size.  */
void
place_copy_raise_memory (struct place_copy *copy, uint64_t memory_mb)
{
  uint64_t total_mb = memory_mb + kv_reserve_of (copy->target);
  uint64_t added_mb
      = total_mb > copy->memory_mb ? total_mb - copy->memory_mb : 0;

  copy->memory_mb += added_mb;
  copy->engine->held_mb += added_mb;
  if (copy->state == BACKEND_COPY_UNLOADING)
    copy->engine->unloading_mb += added_mb;
}

void
place_order_measure_fetch (struct place *place, struct place_order *order,
                           struct timespec at)
{
  double fetch_s = ts_to_s (ts_sub (at, order->ordered_at));

  if (!order->needs_fetch)
    return;
  order->needs_fetch = false;
  order->started_at = at;
  budget_done (&place->store_budget, fetch_s,
               place_nominal_fetch_s (order->copy->memory_mb));
}

/* Compares the time from order to loaded with its estimate.  */
static void
update_load_time_ratio (struct place *place, const struct place_order *order,
                        struct timespec at)
{
  double total_s = ts_to_s (ts_sub (at, order->ordered_at));
  double ratio = total_s / place_reload_s (place, order->copy->target);

  ratio = CLAMP (ratio, 1.0 / LOAD_SLOWDOWN_MAX, 1.0);
  place->load_time_ratio
      += LOAD_TIME_RATIO_WEIGHT * (ratio - place->load_time_ratio);
}

void
place_order_measure_load (struct place *place, struct place_order *order,
                          struct timespec at)
{
  double nominal_s = place_nominal_load_s (order->copy->memory_mb);
  double slowdown = ts_to_s (ts_sub (at, order->started_at)) / nominal_s;

  if (order->type != BACKEND_LOAD || slowdown <= 0.0)
    return;
  update_load_time_ratio (place, order, at);
  slowdown = slowdown > LOAD_SLOWDOWN_MAX ? LOAD_SLOWDOWN_MAX : slowdown;
  place->load_slowdown
      += LOAD_SLOWDOWN_WEIGHT * (slowdown - place->load_slowdown);
}

void
place_order_finish (struct place *place, struct place_order *order, bool ok)
{
  if (order->type == BACKEND_ADAPTER_LOAD
      && place->adapter_loads_in_flight > 0)
    place->adapter_loads_in_flight--;
  if (order->needs_fetch)
    budget_done (&place->store_budget, 0.0, 0.0);
  place_queue_settled (place, order, ok);
  order->copy->order = NULL;
  g_hash_table_remove (place->unsettled, order->id);
}

void
place_copy_free (struct place *place, struct place_copy *copy)
{
  struct place_engine *engine = copy->engine;

  if (copy->order != NULL)
    place_order_finish (place, copy->order,
                        copy->state == BACKEND_COPY_UNLOADING);
  place_copy_set_state (copy, BACKEND_COPY_LOADED);
  engine->held_mb -= copy->memory_mb;
  copy->target->copy_count--;
  g_hash_table_remove (engine->copies, copy->key);
  CK_LIST_REMOVE (copy, engine_link);
  CK_LIST_REMOVE (copy, target_link);
  g_free (copy->key);
  g_free (copy);
}

uint64_t
place_engine_used (const struct place_engine *engine)
{
  return engine->held_mb + engine->unaccounted_mb;
}

uint64_t
place_engine_free (const struct place_engine *engine)
{
  uint64_t used = place_engine_used (engine) + engine->reserved_mb;

  return used < engine->memory_mb ? engine->memory_mb - used : 0;
}

bool
place_copy_current (const struct place_copy *copy)
{
  const char *version = copy->target->version;

  return version != NULL && strcmp (copy->version, version) == 0;
}

bool
place_copy_usable (const struct place_copy *copy)
{
  return copy->state != BACKEND_COPY_UNLOADING && !copy->engine->leaving;
}

/* Whether a copy is on a leaving engine or of an old version.  */
static bool
being_replaced (const struct place_target *target)
{
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (copy->state == BACKEND_COPY_UNLOADING)
        continue;
      if (copy->engine->leaving || !place_copy_current (copy))
        return true;
    }
  return false;
}

unsigned
place_replica_limit (const struct place_target *target)
{
  if (target->version == NULL)
    return 0;
  return target->max_replicas + (being_replaced (target) ? SURGE_REPLICAS : 0);
}

bool
place_may_add_replica (const struct place *place,
                       const struct place_target *target)
{
  return target->copy_count + place->unreported_engines
         < place_replica_limit (target);
}

void
place_check_invariants (const struct place_engine *engine,
                        const struct place_target *target)
{
  if (place_engine_used (engine) > engine->memory_mb)
    g_error ("memory of engine %s overcommitted by an order", engine->id);
  if (!target->adapter && target->copy_count > place_replica_limit (target))
    g_error ("model %s has more replicas than its limit", target->name);
}
