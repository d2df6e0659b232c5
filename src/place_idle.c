#include "place_state.h"

#include <math.h>
#include "ts.h"

#define MIN_IDLE_MS 5000            /* kept for at least this time after use */
#define ADAPTER_MAX_IDLE_MS 1800000 /* unloaded this time after use */
#define PREWARM_SPARE_FETCHES 1     /* kept free for waiting requests */

static bool
is_loaded_without_order (const struct place_copy *copy)
{
  return copy->state == BACKEND_COPY_LOADED && copy->order == NULL;
}

/* Loaded replicas of the current version that accept new requests.  */
static unsigned
current_loaded (const struct place_target *target)
{
  unsigned count = 0;
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      count += copy->state == BACKEND_COPY_LOADED && place_copy_current (copy)
               && !copy->engine->leaving;
    }
  return count;
}

bool
place_copy_surplus (const struct place_copy *copy)
{
  const struct place_target *target = copy->target;

  if (target->version == NULL)
    return true;
  if (!place_copy_current (copy))
    return current_loaded (target) > 0;
  return !target->adapter && copy->state == BACKEND_COPY_LOADED
         && !copy->engine->leaving
         && current_loaded (target) > target->max_replicas
         && copy == CK_LIST_FIRST (&target->copies);
}

void
place_unload (struct place *place, struct place_copy *copy,
              struct timespec now, struct action_list *out, const char *reason)
{
  struct place_copy *other;

  if (!copy->target->adapter)
    {
      CK_LIST_FOREACH (other, &copy->engine->list, engine_link)
        {
          if (other->target->adapter && other->target->base == copy->target
              && is_loaded_without_order (other))
            place_emit_unload (place, other, now, out, reason);
        }
    }
  place_emit_unload (place, copy, now, out, reason);
}

static bool
base_is_on_engine (const struct place_copy *adapter)
{
  const struct place_target *base = adapter->target->base;
  const struct place_copy *copy;

  if (base == NULL)
    return false;
  CK_LIST_FOREACH (copy, &base->copies, target_link)
    {
      if (copy->engine == adapter->engine)
        return true;
    }
  return false;
}

static void
unload_idle_adapter (struct place *place, struct place_copy *copy,
                     struct timespec now, struct action_list *out)
{
  struct timespec end = ts_add_ms (copy->used_at, ADAPTER_MAX_IDLE_MS);

  if (place_copy_surplus (copy))
    place_unload (place, copy, now, out, "cause=not_wanted");
  else if (!base_is_on_engine (copy))
    place_unload (place, copy, now, out, "cause=base_gone");
  else if (ts_before (end, now) && copy->target->waiting_count == 0)
    place_unload (place, copy, now, out, "cause=idle");
}

static char *
idle_reason (const struct place *place, const struct place_copy *copy,
             double value, struct timespec now)
{
  const struct place_target *target = copy->target;
  double idle_s = ts_to_s (ts_sub (now, copy->used_at));

  return g_strdup_printf ("cause=idle value=%.1f idle_s=%.0f reload_s=%.1f"
                          " weight=%.2f memory_mb=%" G_GUINT64_FORMAT,
                          value, idle_s, place_reload_s (place, target),
                          target->weight, copy->memory_mb);
}

static void
unload_idle_model (struct place *place, struct place_copy *copy,
                   struct timespec now, struct action_list *out)
{
  struct place_target *target = copy->target;
  double value;
  char *reason;

  if (place_copy_surplus (copy))
    {
      place_unload (place, copy, now, out, "cause=not_wanted");
      return;
    }
  if (target->waiting_count > 0 || current_loaded (target) == 0)
    return;
  if (current_loaded (target) <= target->min_replicas
      && !copy->engine->leaving)
    return;
  if (ts_before (now, ts_add_ms (copy->used_at, MIN_IDLE_MS)))
    return;
  value = place_keep_value (place, copy, now);
  if (value >= 0.0)
    return;
  reason = idle_reason (place, copy, value, now);
  place_unload (place, copy, now, out, reason);
  g_free (reason);
}

static void
unload_idle_on (struct place *place, struct place_engine *engine,
                struct timespec now, struct action_list *out)
{
  struct place_copy *copy;
  struct place_copy *next;

  CK_LIST_FOREACH_SAFE (copy, &engine->list, engine_link, next)
    {
      if (!is_loaded_without_order (copy) || copy->active > 0)
        continue;
      if (copy->target->adapter)
        unload_idle_adapter (place, copy, now, out);
      else
        unload_idle_model (place, copy, now, out);
    }
}

void
place_unload_idle (struct place *place, struct timespec now,
                   struct action_list *out)
{
  GHashTableIter iter;
  gpointer engine;

  g_hash_table_iter_init (&iter, place->engines);
  while (g_hash_table_iter_next (&iter, NULL, &engine))
    unload_idle_on (place, engine, now, out);
}

/* Whether a replica of the current version is loaded or loading.  */
static bool
has_current_replica (const struct place_target *target)
{
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (place_copy_usable (copy) && place_copy_current (copy))
        return true;
    }
  return false;
}

/* Whether a copy of another version than the current one is loaded.  */
static bool
has_old_version (const struct place_target *target)
{
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (is_loaded_without_order (copy) && !place_copy_current (copy))
        return true;
    }
  return false;
}

/* Loads the current version or, where no engine has room, unloads an idle copy
   of an old one.  */
static void
replace_version (struct place *place, struct place_target *target,
                 struct timespec now, struct action_list *out)
{
  struct place_copy *copy;

  if (place_load_on_best_engine (place, target, true, now, out, "version"))
    return;
  CK_LIST_FOREACH (copy, &target->copies, target_link)
    if (is_loaded_without_order (copy) && copy->active == 0
        && place_keep_value (place, copy, now) < 0)
      {
        place_unload (place, copy, now, out, "cause=old_version");
        return;
      }
}

static void
prewarm_one (struct place *place, struct place_target *target,
             struct timespec now, struct action_list *out)
{
  char *cause;
  double value;

  if (target->version == NULL || target->adapter || target->waiting_count > 0)
    return;
  if (has_current_replica (target) || ts_before (now, target->retry_at))
    return;
  if (!place_may_add_replica (place, target))
    return;
  if (has_old_version (target))
    {
      replace_version (place, target, now, out);
      return;
    }
  value = place_prewarm_value (place, target, now);
  if (value <= 0.0)
    return;
  cause = g_strdup_printf ("expected value=%.1f", value);
  place_load_on_best_engine (place, target, false, now, out, cause);
  g_free (cause);
}

void
place_prewarm (struct place *place, struct timespec now,
               struct action_list *out)
{
  GHashTableIter iter;
  gpointer target;

  g_hash_table_iter_init (&iter, place->targets);
  while (g_hash_table_iter_next (&iter, NULL, &target))
    if (place->store_budget.in_flight + PREWARM_SPARE_FETCHES
        < place->store_budget.at_once)
      prewarm_one (place, target, now, out);
}
