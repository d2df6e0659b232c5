#include "place_state.h"

#include <math.h>
#include "ts.h"

#define MB_PER_GB 1024.0
#define FETCH_S_PER_GB 0.25 /* weight store to disk, at full speed */
#define LOAD_S_PER_GB 0.125 /* disk to accelerator */
#define LOAD_START_S 1.0    /* part of a load that does not depend on size */

double
place_nominal_fetch_s (uint64_t memory_mb)
{
  return (double)memory_mb / MB_PER_GB * FETCH_S_PER_GB;
}

double
place_nominal_load_s (uint64_t memory_mb)
{
  return LOAD_START_S + (double)memory_mb / MB_PER_GB * LOAD_S_PER_GB;
}

double
place_fetch_s (const struct place *place, uint64_t memory_mb)
{
  return place_nominal_fetch_s (memory_mb) * place->store_budget.slow;
}

double
place_load_s (const struct place *place, uint64_t memory_mb)
{
  return place_nominal_load_s (memory_mb) * place->load_slowdown;
}

bool
place_on_disk (const struct place_engine *engine,
               const struct place_target *target)
{
  return target->checkpoint != NULL
         && g_hash_table_contains (engine->disk, target->checkpoint);
}

static unsigned
disk_count (const struct place *place, const struct place_target *target)
{
  GHashTableIter iter;
  gpointer engine;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, place->engines);
  while (g_hash_table_iter_next (&iter, NULL, &engine))
    count += place_on_disk (engine, target);
  return count;
}

double
place_reload_s (const struct place *place, const struct place_target *target)
{
  double load_s = place_load_s (place, target->memory_mb);

  if (disk_count (place, target) > 0)
    return load_s;
  return load_s + place_fetch_s (place, target->memory_mb);
}

/* Like place_reload_s, but an engine with the checkpoint on disk may have no
   room by then: the fewer such engines, the likelier a fetch.  */
static double
expected_reload_s (const struct place *place,
                   const struct place_target *target, double store_slow)
{
  return place_load_s (place, target->memory_mb)
         + place_nominal_fetch_s (target->memory_mb) * store_slow
               / (1.0 + disk_count (place, target));
}

static struct place_idle
idle_of (const struct place *place, const struct place_target *target,
         struct timespec now)
{
  struct place_idle idle = { 0 };

  idle.gaps = target->gaps;
  idle.prior = target->prior;
  idle.wall_s = place_wall_s (place, now);
  idle.idle_s = gaps_idle_s (target->gaps, idle.wall_s);
  idle.reload_s = expected_reload_s (place, target, place->store_budget.slow);
  idle.full_speed_reload_s = expected_reload_s (place, target, 1.0);
  idle.weight = target->weight;
  idle.priority = target->priority;
  return idle;
}

/* Accelerators that TARGET would occupy on ENGINE, by its share of memory. */
static double
accelerators_used (const struct place_engine *engine,
                   const struct place_target *target)
{
  double memory_mb = (double)(target->memory_mb + target->kv_reserve_mb);

  if (engine->memory_mb == 0)
    return 0.0;
  return memory_mb / (double)engine->memory_mb * engine->accelerators;
}

double
place_keep_value (const struct place *place, const struct place_copy *copy,
                  struct timespec now)
{
  const struct place_target *target = copy->target;
  struct place_idle idle;

  if (target->gaps == NULL || target->version == NULL)
    return -INFINITY;
  idle = idle_of (place, target, now);
  idle.idle_s = ts_to_s (ts_sub (now, copy->used_at));
  idle.share = accelerators_used (copy->engine, target);
  return place->policy->ops->keep_value (place->policy, &idle);
}

double
place_prewarm_value (const struct place *place,
                     const struct place_target *target, struct timespec now)
{
  struct place_idle idle = idle_of (place, target, now);
  GHashTableIter iter;
  gpointer engine;

  g_hash_table_iter_init (&iter, place->engines);
  while (g_hash_table_iter_next (&iter, NULL, &engine))
    idle.share = fmax (idle.share, accelerators_used (engine, target));
  return place->policy->ops->prewarm_value (place->policy, &idle);
}
