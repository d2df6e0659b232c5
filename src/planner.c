#include "planner.h"

#include <string.h>
#include "modelspeed.h"
#include "planner_state.h"
#include "planner_work.h"
#include "reqtime.h"
#include "ts.h"

static void
engine_free (gpointer data)
{
  struct planner_engine *engine = data;

  inventory_free (engine->inventory);
  g_free (engine->order.model);
  g_free (engine->order.adapter);
  g_free (engine->order.reason);
  g_free (engine->next_model);
  g_free (engine->last_loaded);
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine->software);
  g_free (engine);
}

static void
waiting_free (gpointer data)
{
  struct planner_waiting *entry = data;

  g_free (entry->node);
  g_free (entry->target);
  g_free (entry->software);
  g_free (entry);
}

struct planner *
planner_new (const struct planner_options *options)
{
  struct planner *planner = g_new0 (struct planner, 1);

  planner->loads_at_once = options->loads_at_once;
  planner->request_s = REQTIME_DEFAULT_S;
  planner->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  planner->models = g_hash_table_new (g_str_hash, g_str_equal);
  planner->arrivals = rates_new ();
  planner->arrivals_long = rates_new_slow (PLANNER_WORK_LONG_S);
  planner->dispatched = rates_new ();
  planner->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  planner->started_at = options->now;
  planner->expected_ready
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  planner->waiting
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, waiting_free);
  budget_init (&planner->budget, 0, options->loads_at_once, options->now);
  /* The previous decider may just have used the token.  */
  planner->budget.tokens = 0;
  return planner;
}

void
planner_free (struct planner *planner)
{
  if (planner == NULL)
    return;
  g_hash_table_unref (planner->engines);
  g_hash_table_unref (planner->models);
  rates_free (planner->arrivals);
  rates_free (planner->arrivals_long);
  rates_free (planner->dispatched);
  g_hash_table_unref (planner->requests);
  g_hash_table_unref (planner->expected_ready);
  g_hash_table_unref (planner->waiting);
  g_free (planner);
}

static gboolean
is_not_a_model (gpointer name, gpointer requests, gpointer models)
{
  (void)requests;
  return !g_hash_table_contains (models, name);
}

void
planner_set_service (struct planner *planner,
                     const struct site_service *service, struct timespec now)
{
  uint64_t adapter_mb = 0;

  planner->service = service;
  g_hash_table_remove_all (planner->models);
  for (size_t i = 0; i < service->model_count; i++)
    {
      adapter_mb = MAX (adapter_mb, service->models[i].adapter_mb);
      g_hash_table_insert (planner->models, service->models[i].name,
                           &service->models[i]);
    }
  g_hash_table_foreach_remove (planner->requests, is_not_a_model,
                               planner->models);
  planner->adapter_reserve_mb = adapter_mb * service->adapter_slots;
  budget_set_limits (&planner->budget, service->loads_per_s,
                     planner->loads_at_once, now);
}

static struct planner_engine *
engine_new (struct planner *planner, const struct server_entry *entry)
{
  struct planner_engine *engine = g_new0 (struct planner_engine, 1);

  engine->id = g_strdup (entry->id);
  engine->address = g_strdup (entry->address);
  engine->software = g_strdup ("");
  engine->inventory = inventory_new ();
  g_hash_table_replace (planner->engines, engine->id, engine);
  return engine;
}

/* After a restart the engine's previous contents no longer apply.  It gets no
   order until its next report shows the current ones.  */
static void
reset_if_restarted (struct planner *planner, struct planner_engine *engine,
                    const struct inventory *listed)
{
  if (engine->inventory->born == listed->born)
    return;
  planner_clear_order (planner, engine);
  g_clear_pointer (&engine->next_model, g_free);
  inventory_free (engine->inventory);
  engine->inventory = inventory_copy (listed);
  engine->inventory->sequence = 0;
  engine->has_report = false;
}

void
planner_update_engine (struct planner *planner,
                       const struct server_entry *entry)
{
  struct planner_engine *engine
      = g_hash_table_lookup (planner->engines, entry->id);

  if (engine != NULL && strcmp (engine->address, entry->address) != 0)
    {
      planner_remove_engine (planner, entry->id);
      engine = NULL;
    }
  if (engine == NULL)
    engine = engine_new (planner, entry);
  engine->leaving = entry->leaving;
  if (entry->software != NULL)
    {
      g_free (engine->software);
      engine->software = g_strdup (entry->software);
    }
  if (entry->inventory != NULL)
    reset_if_restarted (planner, engine, entry->inventory);
}

void
planner_set_limit (struct planner *planner, const char *id, double per_s)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);

  if (engine != NULL)
    engine->limit_per_s = per_s;
}

void
planner_set_pace (struct planner *planner, const char *id, double pace)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);

  if (engine != NULL)
    engine->pace = pace;
}

void
planner_set_speeds (struct planner *planner, const struct modelspeed *speed)
{
  planner->speeds = speed;
}

void
planner_note_requests (struct planner *planner, const char *target,
                       const struct planner_delay_kind *kind)
{
  char *model = g_strndup (target, strcspn (target, "/"));
  struct planner_delay_requests *requests
      = g_hash_table_lookup (planner->requests, model);

  if (requests == NULL && planner_model (planner, model) != NULL)
    {
      requests = g_new0 (struct planner_delay_requests, 1);
      g_hash_table_insert (planner->requests, g_strdup (model), requests);
    }
  planner_delay_add (&planner->all_requests, kind);
  if (requests != NULL)
    {
      /* Work for this model in tokens of a model of mean speed.  */
      struct planner_delay_kind own = *kind;
      double factor = planner->speeds != NULL
                          ? modelspeed_factor (planner->speeds, model)
                          : 1;

      own.tokens *= factor;
      own.answer_tokens *= factor;
      planner_delay_add (requests, &own);
    }
  g_free (model);
}

void
planner_set_request_time (struct planner *planner, double request_s)
{
  planner->request_s = request_s;
}

void
planner_remove_engine (struct planner *planner, const char *id)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);

  if (engine == NULL)
    return;
  planner_clear_order (planner, engine);
  g_hash_table_remove (planner->engines, id);
}

void
planner_engine_down (struct planner *planner, const char *id)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);
  struct inventory *empty;

  if (engine == NULL)
    return;
  engine->report_pending = false;
  planner_clear_order (planner, engine);
  g_clear_pointer (&engine->next_model, g_free);
  empty = inventory_new ();
  empty->born = engine->inventory->born;
  inventory_free (engine->inventory);
  engine->inventory = empty;
  engine->has_report = false;
}

void
planner_report (struct planner *planner, const char *id,
                const struct inventory *inventory, struct timespec now,
                struct action_list *out)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);

  if (engine == NULL)
    return;
  engine->report_pending = false;
  if (inventory == NULL || inventory_newer (engine->inventory, inventory))
    return;
  if (inventory->born != engine->inventory->born)
    reset_if_restarted (planner, engine, inventory);
  engine->has_report = true;
  inventory_free (engine->inventory);
  engine->inventory = inventory_copy (inventory);
  planner_check_order (planner, engine, now, out);
}

/* Adds COUNT requests for TARGET, and for its model.  */
static void
add_requests (struct rates *rates, const char *target, double count,
              struct timespec now)
{
  const char *slash = strchr (target, '/');
  char *model;

  rates_add (rates, target, count, now);
  if (slash == NULL)
    return;
  model = g_strndup (target, (gsize)(slash - target));
  rates_add (rates, model, count, now);
  g_free (model);
}

void
planner_request_arrived (struct planner *planner, const char *target,
                         double count, struct timespec now)
{
  if (ts_is_zero (planner->first_request_at))
    planner->first_request_at = now;
  add_requests (planner->arrivals, target, count, now);
  add_requests (planner->arrivals_long, target, count, now);
}

/* KEY is owned by the table.  SOFTWARE may be NULL.  */
static void
set_waiting (struct planner *planner, char *key, const char *node,
             const char *target, const char *software, unsigned waiting,
             unsigned priority, struct timespec now)
{
  struct planner_waiting *entry = g_hash_table_lookup (planner->waiting, key);
  struct timespec since;

  /* Requests that no longer wait have just been dispatched to an engine.  They
     were counted on arrival, so only the time is recorded, with a count
     of 0.  */
  if (entry != NULL && waiting < entry->waiting)
    add_requests (planner->dispatched, target, 0, now);
  if (waiting == 0)
    {
      g_hash_table_remove (planner->waiting, key);
      g_free (key);
      return;
    }
  since = entry != NULL ? entry->since : now;
  entry = g_new0 (struct planner_waiting, 1);
  entry->since = since;
  entry->node = g_strdup (node);
  entry->target = g_strdup (target);
  entry->software = g_strdup (software);
  entry->waiting = waiting;
  entry->priority = priority;
  g_hash_table_replace (planner->waiting, key, entry);
}

void
planner_set_waiting (struct planner *planner, const char *node,
                     const char *target, unsigned waiting, unsigned priority,
                     struct timespec now)
{
  set_waiting (planner, g_strdup_printf ("%s %s", node, target), node, target,
               NULL, waiting, priority, now);
}

void
planner_set_resuming (struct planner *planner, const char *node,
                      const char *target, const char *software,
                      unsigned waiting, unsigned priority, struct timespec now)
{
  set_waiting (planner, g_strdup_printf ("%s %s\n%s", node, target, software),
               node, target, software, waiting, priority, now);
}

void
planner_remove_node (struct planner *planner, const char *node)
{
  const struct planner_waiting *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, planner->waiting);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    if (strcmp (entry->node, node) == 0)
      g_hash_table_iter_remove (&iter);
}

void
planner_tick (struct planner *planner, struct timespec now,
              struct action_list *out)
{
  struct planner_engine *engine;
  GHashTableIter iter;

  if (planner->service == NULL)
    return;
  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    planner_advance_order (planner, engine, now, out);
  planner_run_round (planner, now, out);
}

struct timespec
planner_next_tick (const struct planner *planner, struct timespec now)
{
  struct timespec next = ts_add_ms (now, PLANNER_TICK_MS);
  const struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->order.stage == STAGE_RUNNING
        && engine->order.type == BACKEND_ADAPTER_LOAD)
      next = ts_min (next, ts_max (now, engine->order.ready_at));
  return next;
}

struct visitor
{
  void (*fn) (void *user, const struct peer_replica *replica);
  void *user;
  struct timespec now;
};

/* Whether the open order unloads MODEL or ADAPTER, which then gets no new
   requests.  */
static bool
is_unloading (const struct planner_engine *engine, const char *model,
              const char *adapter)
{
  const struct planner_order *order = &engine->order;

  if (order->stage == STAGE_NONE || strcmp (order->model, model) != 0)
    return false;
  if (order->type == BACKEND_UNLOAD)
    return true;
  return order->type == BACKEND_ADAPTER_UNLOAD && adapter != NULL
         && strcmp (order->adapter, adapter) == 0;
}

static void
visit_loaded (const struct planner_engine *engine,
              const struct inventory_model *model,
              const struct visitor *visitor)
{
  struct peer_replica replica = { .engine = engine->id,
                                  .address = engine->address,
                                  .model = model->name,
                                  .state = BACKEND_COPY_LOADED,
                                  .leaving = engine->leaving };

  if (is_unloading (engine, model->name, NULL))
    replica.state = BACKEND_COPY_UNLOADING;
  visitor->fn (visitor->user, &replica);
  for (guint i = 0; i < model->adapters->len; i++)
    {
      replica.adapter = g_ptr_array_index (model->adapters, i);
      replica.state = BACKEND_COPY_LOADED;
      if (is_unloading (engine, model->name, replica.adapter))
        replica.state = BACKEND_COPY_UNLOADING;
      visitor->fn (visitor->user, &replica);
    }
}

static void
visit_loading (const struct planner_engine *engine,
               const struct visitor *visitor)
{
  const struct planner_order *order = &engine->order;
  struct peer_replica replica = { .engine = engine->id,
                                  .address = engine->address,
                                  .model = order->model,
                                  .adapter = order->adapter,
                                  .state = BACKEND_COPY_LOADING,
                                  .leaving = engine->leaving };

  if (order->stage == STAGE_NONE || order->type != BACKEND_LOAD
      || inventory_model (engine->inventory, order->model) != NULL)
    return;
  if (order->stage == STAGE_RUNNING
      && ts_before (visitor->now, order->ready_at))
    replica.ready_ms
        = (uint64_t)ts_to_ms (ts_sub (order->ready_at, visitor->now));
  visitor->fn (visitor->user, &replica);
}

/* Models that requests wait for and no engine is loading yet, with the
   estimated time until they are loaded.  */
static void
visit_expected (const struct planner *planner, const struct visitor *visitor)
{
  const struct timespec *at;
  GHashTableIter iter;
  char *model;

  g_hash_table_iter_init (&iter, planner->expected_ready);
  while (g_hash_table_iter_next (&iter, (gpointer *)&model, (gpointer *)&at))
    {
      struct peer_replica replica = { .engine = (char *)SERVERS_NO_ENGINE,
                                      .model = model,
                                      .state = BACKEND_COPY_LOADING };

      if (ts_before (visitor->now, *at))
        replica.ready_ms = (uint64_t)ts_to_ms (ts_sub (*at, visitor->now));
      visitor->fn (visitor->user, &replica);
    }
}

void
planner_each_replica (const struct planner *planner, struct timespec now,
                      void (*fn) (void *user,
                                  const struct peer_replica *replica),
                      void *user)
{
  struct visitor visitor = { .fn = fn, .user = user, .now = now };
  const struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      for (guint i = 0; i < engine->inventory->models->len; i++)
        visit_loaded (engine, g_ptr_array_index (engine->inventory->models, i),
                      &visitor);
      visit_loading (engine, &visitor);
    }
  visit_expected (planner, &visitor);
}

unsigned
planner_open_orders (const struct planner *planner)
{
  const struct planner_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    n += engine->order.stage != STAGE_NONE;
  return n;
}

unsigned
planner_short_models (const struct planner *planner)
{
  return planner->short_models;
}
