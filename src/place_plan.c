#include "place_state.h"

#include <math.h>
#include "ts.h"

#define NO_DEADLINE_S 60.0 /* slack assumed for a minimum of replicas */
#define SLOTS_DEFAULT 4

static void
count_replicas (const struct place_target *target, struct place_wanted *wanted)
{
  const struct place_copy *copy;

  wanted->slots = SLOTS_DEFAULT;
  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (!place_copy_usable (copy))
        continue;
      if (copy->state == BACKEND_COPY_LOADED)
        wanted->loaded++;
      else
        wanted->loading++;
      if (copy->engine->slots > 0)
        wanted->slots = copy->engine->slots;
    }
}

struct place_wanted
place_wanted_of (const struct place *place, const struct place_target *target,
                 struct timespec now)
{
  struct place_wanted wanted = { 0 };
  const struct place_set_waiting *want;

  wanted.load_s = place_reload_s (place, target);
  wanted.priority = target->priority;
  wanted.slack_s = NO_DEADLINE_S;
  CK_LIST_FOREACH (want, &target->wants, link)
    {
      double left_s = ts_to_s (ts_sub (want->deadline, now));
      double waited_s = ts_to_s (ts_sub (now, want->since));

      wanted.waiting += want->waiting;
      wanted.priority = MAX (wanted.priority, want->priority);
      wanted.slack_s = fmin (wanted.slack_s, left_s - wanted.load_s);
      wanted.waited_s = fmax (wanted.waited_s, waited_s);
    }
  count_replicas (target, &wanted);
  return wanted;
}

static bool
needs_load (struct place *place, struct place_target *target,
            struct timespec now)
{
  struct place_wanted wanted = place_wanted_of (place, target, now);
  unsigned replicas = wanted.loaded + wanted.loading;

  target->key = place->policy->ops->order_key (place->policy, &wanted);
  if (!place_may_add (place, target))
    return false;
  if (ts_before (now, target->retry_at))
    return false;
  if (replicas < target->min_replicas)
    return true;
  if (target->want_count == 0)
    return false;
  return replicas == 0 || target->cramped
         || place->policy->ops->another (place->policy, &wanted);
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  const struct place_target *x = *(struct place_target *const *)a;
  const struct place_target *y = *(struct place_target *const *)b;

  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return g_strcmp0 (x->name, y->name);
}

static void
plan_models (struct place *place, struct timespec now, struct action_list *out)
{
  GPtrArray *needy = g_ptr_array_new ();
  struct place_target *target;

  CK_LIST_FOREACH (target, &place->wanted, wanted_link)
    {
      if (!target->adapter && target->version != NULL
          && needs_load (place, target, now))
        g_ptr_array_add (needy, target);
    }
  g_ptr_array_sort (needy, by_key);
  for (guint i = 0; i < needy->len; i++)
    {
      target = g_ptr_array_index (needy, i);
      place_choose (place, target, true, now, out,
                    target->want_count > 0 ? "waiting" : "minimum");
    }
  g_ptr_array_free (needy, TRUE);
}

static bool
is_under_way (const struct place_target *adapter)
{
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &adapter->copies, target_link)
    {
      if (place_copy_usable (copy) && place_copy_current (copy))
        return true;
    }
  return false;
}

/* The least busy engine with the base loaded and room for the adapter.  */
static struct place_engine *
adapter_engine (const struct place_target *adapter)
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

/* The idle adapter on ENGINE that was used longest ago.  */
static struct place_copy *
oldest_adapter (const struct place_engine *engine)
{
  struct place_copy *oldest = NULL;
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &engine->list, engine_link)
    {
      if (!copy->target->adapter || copy->order != NULL || copy->active > 0
          || copy->target->want_count > 0
          || copy->state != BACKEND_COPY_LOADED)
        continue;
      if (oldest == NULL || ts_before (copy->used_at, oldest->used_at))
        oldest = copy;
    }
  return oldest;
}

/* Where there is no room, an adapter of about the size goes, or else idle
   models; false when neither can be.  */
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
      if (place_engine_free (engine) + engine->going_mb >= adapter->memory_mb)
        return true;
      oldest = oldest_adapter (engine);
      if (oldest != NULL
          && place_engine_free (engine) + oldest->memory_mb
                 >= adapter->memory_mb)
        {
          place_drop (place, oldest, now, out, reason);
          return true;
        }
      if (place_make_room (place, engine, adapter->memory_mb, now, out,
                           reason))
        return true;
    }
  return false;
}

static bool
may_have_adapter (const struct place *place,
                  const struct place_target *adapter, struct timespec now)
{
  return !ts_before (now, adapter->retry_at)
         && place->adapters_flying < place->adapters_at_once;
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

/* Keeps room for an adapter that is not under way yet, beside its base.  */
static void
promise_room (struct place_target *adapter)
{
  struct place_target *base = adapter->base;
  struct place_copy *copy;

  base->adapter_mb = MAX (base->adapter_mb, adapter->memory_mb);
  CK_LIST_FOREACH (copy, &base->copies, target_link)
    if (place_copy_usable (copy))
      {
        copy->engine->promised_mb += adapter->memory_mb;
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
      adapter->want_count, engine->running, place_engine_free (engine),
      place->adapters_flying);

  place_emit_load (place, engine, adapter, now, out, reason);
  g_free (reason);
}

static void
plan_adapter (struct place *place, struct place_target *adapter,
              struct timespec now, struct action_list *out)
{
  struct place_engine *engine = adapter_engine (adapter);

  if (engine != NULL && may_have_adapter (place, adapter, now))
    {
      load_adapter (place, adapter, engine, now, out);
      return;
    }
  if (engine == NULL && base_is_loaded (adapter)
      && !make_adapter_room (place, adapter, now, out))
    adapter->base->cramped = true;
  promise_room (adapter);
}

static void
plan_adapters (struct place *place, struct timespec now,
               struct action_list *out)
{
  struct place_target *target;

  CK_LIST_FOREACH (target, &place->wanted, wanted_link)
    {
      if (target->adapter && target->base != NULL && target->version != NULL
          && target->want_count > 0 && !is_under_way (target))
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
    ((struct place_engine *)engine)->promised_mb = 0;
  CK_LIST_FOREACH (target, &place->wanted, wanted_link)
    {
      target->adapter_mb = 0;
      target->cramped = false;
    }
  CK_STAILQ_CONCAT (out, &place->settled);
  plan_adapters (place, now, out);
  plan_models (place, now, out);
}
