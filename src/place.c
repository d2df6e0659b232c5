#include "place.h"

#include <string.h>
#include "place_state.h"
#include "ts.h"

#define IDLE_PASS_INTERVAL_MS 2000 /* between unloads and prewarming */
#define BUSY_INTERVAL_MS 500       /* of ticks with demand or open orders */

static void
free_copies (struct place *place, struct place_engine *engine)
{
  struct place_copy *copy;

  while ((copy = CK_LIST_FIRST (&engine->list)) != NULL)
    place_copy_free (place, copy);
}

static void
free_engine (void *pointer)
{
  struct place_engine *engine = pointer;

  g_hash_table_unref (engine->disk);
  g_hash_table_unref (engine->copies);
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine->zone);
  g_free (engine);
}

static void
free_order (void *pointer)
{
  struct place_order *order = pointer;

  g_free (order->id);
  g_free (order);
}

static void
free_waiters (void *pointer)
{
  struct place_waiters *waiters = pointer;

  g_free (waiters->key);
  g_free (waiters);
}

struct place *
place_new (const struct place_options *options)
{
  struct place *place = g_new0 (struct place, 1);
  place->cell = g_strdup (options->cell);
  place->doc = options->doc;
  place->mine = options->mine;
  place->user = options->user;
  place->policy = options->policy ? options->policy : place_policy_standard ();
  place->rand = g_rand_new_with_seed (options->seed);
  place->wall_offset = options->wall_offset;
  place->started_at = options->now;
  place->fence = options->fence;
  place->adapters_at_once = options->adapters_at_once;
  place->load_slowdown = 1.0;
  place->load_time_ratio = 1.0;
  budget_init (&place->store_budget, options->loads_per_s,
               options->loads_at_once, options->now);
  place->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engine);
  place->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          place_target_free);
  place->pool_gaps
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  place->waiters
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_waiters);
  place->unsettled
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_order);
  CK_LIST_INIT (&place->demanded);
  action_list_init (&place->settled);
  place_targets_from_doc (place);
  return place;
}

void
place_free (struct place *place)
{
  GHashTableIter iter;
  gpointer engine;

  if (place == NULL)
    return;
  g_hash_table_unref (place->waiters);
  g_hash_table_iter_init (&iter, place->engines);
  while (g_hash_table_iter_next (&iter, NULL, &engine))
    {
      free_copies (place, engine);
    }
  action_list_clear (&place->settled);
  g_hash_table_unref (place->engines);
  g_hash_table_unref (place->targets);
  g_hash_table_unref (place->pool_gaps);
  g_hash_table_unref (place->unsettled);
  g_rand_free (place->rand);
  g_free (place->cell);
  g_free (place);
}

void
place_doc (struct place *place, const struct doc *doc, struct timespec now,
           struct action_list *out)
{
  place->doc = doc;
  place_targets_from_doc (place);
  place_unload_idle (place, now, out);
  place_plan (place, now, out);
}

void
place_fence (struct place *place, uint64_t fence)
{
  if (fence != place->fence)
    place->orders = 0;
  place->fence = fence;
}

void
place_share (struct place *place, double loads_per_s, unsigned loads_at_once,
             unsigned adapters_at_once, struct timespec now,
             struct action_list *out)
{
  budget_set_limits (&place->store_budget, loads_per_s, loads_at_once, now);
  place->adapters_at_once = adapters_at_once;
  place_plan (place, now, out);
}

static struct place_engine *
engine_get (struct place *place, const char *id)
{
  struct place_engine *engine = g_hash_table_lookup (place->engines, id);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct place_engine, 1);
  engine->id = g_strdup (id);
  engine->disk = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->copies = g_hash_table_new (g_str_hash, g_str_equal);
  CK_LIST_INIT (&engine->list);
  place->unreported_engines++;
  g_hash_table_insert (place->engines, engine->id, engine);
  return engine;
}

static void
replace_string (char **at, const char *value)
{
  if (g_strcmp0 (*at, value) == 0)
    return;
  g_free (*at);
  *at = g_strdup (value);
}

void
place_engine_seen (struct place *place, const char *engine,
                   const char *address, const char *zone, bool leaving,
                   struct timespec now, struct action_list *out)
{
  struct place_engine *found = engine_get (place, engine);
  bool starts_leaving = leaving && !found->leaving;

  replace_string (&found->address, address);
  replace_string (&found->zone, zone);
  found->leaving = leaving || (found->leaving && !found->listed_leaving);
  found->listed_leaving = leaving;
  if (starts_leaving)
    place_plan (place, now, out);
}

void
place_engine_gone (struct place *place, const char *engine,
                   struct timespec now, struct action_list *out)
{
  struct place_engine *found = g_hash_table_lookup (place->engines, engine);

  if (found == NULL)
    return;
  free_copies (place, found);
  if (!found->reported)
    place->unreported_engines--;
  g_hash_table_remove (place->engines, engine);
  place_plan (place, now, out);
}

static void
mark_used (struct place_target *target, struct timespec now)
{
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      copy->used_at = now;
    }
}

void
place_request_arrived (struct place *place, const char *target, unsigned count,
                       struct timespec now)
{
  struct place_target *requested = place_target_find (place, target);

  if (requested == NULL || count == 0)
    return;
  mark_used (requested, now);
  if (requested->base != NULL)
    {
      requested = requested->base;
      mark_used (requested, now);
    }
  gaps_call (requested->gaps, requested->prior, place_wall_s (place, now));
}

static void
add_waiting (struct place *place, struct place_target *target, int change)
{
  target->waiting_count += (unsigned)change;
  place_target_update_demand (place, target);
}

static void
waiters_set (struct place *place, struct place_waiters *waiters,
             unsigned waiting)
{
  int change = (int)waiting - (int)waiters->waiting;

  waiters->waiting = waiting;
  add_waiting (place, waiters->target, change);
}

static void
waiters_remove (struct place *place, struct place_waiters *waiters)
{
  waiters_set (place, waiters, 0);
  CK_LIST_REMOVE (waiters, link);
  g_hash_table_remove (place->waiters, waiters->key);
}

static struct place_waiters *
waiters_get (struct place *place, const char *node,
             struct place_target *target, struct timespec now)
{
  char *key = g_strdup_printf ("%s\n%s", node, target->name);
  struct place_waiters *waiters = g_hash_table_lookup (place->waiters, key);

  if (waiters != NULL)
    {
      g_free (key);
      return waiters;
    }
  waiters = g_new0 (struct place_waiters, 1);
  waiters->key = key;
  waiters->target = target;
  waiters->since = now;
  CK_LIST_INSERT_HEAD (&target->waiters, waiters, link);
  g_hash_table_insert (place->waiters, waiters->key, waiters);
  return waiters;
}

static void
waiters_update (struct place *place, const char *node,
                struct place_target *target, unsigned waiting,
                struct timespec deadline, unsigned priority,
                struct timespec now)
{
  struct place_waiters *waiters = waiters_get (place, node, target, now);

  waiters->deadline = deadline;
  waiters->priority = priority;
  waiters_set (place, waiters, waiting);
  if (waiting == 0)
    waiters_remove (place, waiters);
}

void
place_set_waiting (struct place *place, const char *node, const char *target,
                   unsigned waiting, struct timespec deadline,
                   unsigned priority, struct timespec now,
                   struct action_list *out)
{
  struct place_target *requested = place_target_find (place, target);

  if (requested == NULL)
    requested = g_hash_table_lookup (place->targets, target);
  if (requested == NULL)
    return;
  /* Requests that wait for an adapter also count for its base model, which has
     to be loaded too.  */
  if (requested->base != NULL)
    {
      char *key = g_strdup_printf ("%s\t%s", node, requested->name);

      waiters_update (place, key, requested->base, waiting, deadline, priority,
                      now);
      g_free (key);
    }
  waiters_update (place, node, requested, waiting, deadline, priority, now);
  place_plan (place, now, out);
}

void
place_node_gone (struct place *place, const char *node)
{
  GList *all = g_hash_table_get_values (place->waiters);
  size_t length = strlen (node);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct place_waiters *waiters = i->data;
      char end = waiters->key[length];

      if (strncmp (waiters->key, node, length) == 0
          && (end == '\n' || end == '\t'))
        waiters_remove (place, waiters);
    }
  g_list_free (all);
}

/* State of a copy while an order of TYPE for it is unsettled.  */
static enum backend_copy_state
state_while_ordered (enum backend_order_type type)
{
  bool load = type == BACKEND_LOAD || type == BACKEND_ADAPTER_LOAD;

  return load ? BACKEND_COPY_LOADING : BACKEND_COPY_UNLOADING;
}

void
place_restore (struct place *place, const struct backend_order *order,
               struct timespec now, struct action_list *out)
{
  struct place_engine *engine = engine_get (place, order->engine);
  bool adapter = order->adapter != NULL;
  const char *name = adapter ? order->adapter : order->model;
  struct place_target *target = place_target_get (place, name, adapter);
  char *key = g_strdup_printf ("%s@%s", name, order->version);
  struct place_copy *copy = g_hash_table_lookup (engine->copies, key);
  enum backend_copy_state state = state_while_ordered (order->type);

  g_free (key);
  replace_string (&engine->address, order->address);
  if (g_hash_table_contains (place->unsettled, order->order_id))
    return;
  if (copy == NULL)
    copy = place_copy_new (engine, target, order->version, order->memory_mb,
                           state, now);
  if (copy->order != NULL)
    return;
  place_copy_set_state (copy, state);
  place_order_new (place, copy, order->order_id, order->type, now);
  place_emit_resend (place, copy->order, now, out);
}

/* Emits unacknowledged orders again that are due.  */
static void
resend (struct place *place, struct timespec now, struct action_list *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->unsettled);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_order *order = value;

      if (!order->accepted && !ts_before (now, order->resend_at))
        place_emit_resend (place, order, now, out);
    }
}

void
place_tick (struct place *place, struct timespec now, struct action_list *out)
{
  resend (place, now, out);
  place_plan (place, now, out);
  if (ts_before (now, ts_add_ms (place->idle_pass_at, IDLE_PASS_INTERVAL_MS)))
    return;
  place->idle_pass_at = now;
  place_targets_prune (place);
  place_unload_idle (place, now, out);
  place_prewarm (place, now, out);
}

struct timespec
place_next (const struct place *place, struct timespec now)
{
  struct timespec next_pass_at
      = ts_add_ms (place->idle_pass_at, IDLE_PASS_INTERVAL_MS);
  struct timespec next_plan_at = ts_add_ms (now, BUSY_INTERVAL_MS);
  struct timespec next_fetch_at = budget_next_at (&place->store_budget, now);

  if (CK_LIST_EMPTY (&place->demanded)
      && g_hash_table_size (place->unsettled) == 0)
    return ts_max (next_pass_at, now);
  if (ts_before (now, next_fetch_at))
    next_plan_at = ts_min (next_plan_at, next_fetch_at);
  return ts_max (ts_min (next_plan_at, next_pass_at), now);
}

size_t
place_unsettled (const struct place *place)
{
  return g_hash_table_size (place->unsettled);
}
