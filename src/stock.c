#include "stock.h"

#include <string.h>
#include "stock_state.h"
#include "ts.h"

static void
engine_free (gpointer data)
{
  struct stock_engine *engine = data;

  holding_free (engine->held);
  g_free (engine->order.model);
  g_free (engine->order.adapter);
  g_free (engine->order.reason);
  g_free (engine->goal);
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine);
}

static void
want_free (gpointer data)
{
  struct stock_want *want = data;

  g_free (want->node);
  g_free (want->target);
  g_free (want);
}

struct stock *
stock_new (const struct stock_options *options)
{
  struct stock *stock = g_new0 (struct stock, 1);

  stock->loads_at_once = options->loads_at_once;
  stock->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  stock->models = g_hash_table_new (g_str_hash, g_str_equal);
  stock->demand = rates_new ();
  stock->sent = rates_new ();
  stock->expected
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  stock->wants
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, want_free);
  budget_init (&stock->budget, 0, options->loads_at_once, options->now);
  stock->budget.tokens = 0; /* the decider before may just have used them */
  return stock;
}

void
stock_free (struct stock *stock)
{
  if (stock == NULL)
    return;
  g_hash_table_unref (stock->engines);
  g_hash_table_unref (stock->models);
  rates_free (stock->demand);
  rates_free (stock->sent);
  g_hash_table_unref (stock->expected);
  g_hash_table_unref (stock->wants);
  g_free (stock);
}

void
stock_service (struct stock *stock, const struct site_service *service,
               struct timespec now)
{
  uint64_t adapter_mb = 0;

  stock->service = service;
  g_hash_table_remove_all (stock->models);
  for (size_t i = 0; i < service->model_count; i++)
    {
      adapter_mb = MAX (adapter_mb, service->models[i].adapter_mb);
      g_hash_table_insert (stock->models, service->models[i].name,
                           &service->models[i]);
    }
  stock->reserved_mb = adapter_mb * service->adapter_slots;
  budget_share (&stock->budget, service->loads_per_s, stock->loads_at_once,
                now);
}

static struct stock_engine *
engine_new (struct stock *stock, const struct server_entry *entry)
{
  struct stock_engine *engine = g_new0 (struct stock_engine, 1);

  engine->id = g_strdup (entry->id);
  engine->address = g_strdup (entry->address);
  engine->held = holding_new ();
  g_hash_table_replace (stock->engines, engine->id, engine);
  return engine;
}

/* Another start holds other things; what it holds is for its report to
   say.  */
static void
take_start (struct stock *stock, struct stock_engine *engine,
            const struct holding *listed)
{
  if (engine->held->born == listed->born)
    return;
  stock_order_clear (stock, engine);
  g_clear_pointer (&engine->goal, g_free);
  holding_free (engine->held);
  engine->held = holding_copy (listed);
  engine->held->sequence = 0;
  engine->known = false;
}

void
stock_engine (struct stock *stock, const struct server_entry *entry)
{
  struct stock_engine *engine
      = g_hash_table_lookup (stock->engines, entry->id);

  if (engine != NULL && strcmp (engine->address, entry->address) != 0)
    {
      stock_engine_gone (stock, entry->id);
      engine = NULL;
    }
  if (engine == NULL)
    engine = engine_new (stock, entry);
  engine->leaving = entry->leaving;
  if (entry->holding != NULL)
    take_start (stock, engine, entry->holding);
}

void
stock_engine_gone (struct stock *stock, const char *id)
{
  struct stock_engine *engine = g_hash_table_lookup (stock->engines, id);

  if (engine == NULL)
    return;
  stock_order_clear (stock, engine);
  g_hash_table_remove (stock->engines, id);
}

void
stock_engine_down (struct stock *stock, const char *id)
{
  struct stock_engine *engine = g_hash_table_lookup (stock->engines, id);
  struct holding *nothing;

  if (engine == NULL)
    return;
  engine->asking = false;
  stock_order_clear (stock, engine);
  g_clear_pointer (&engine->goal, g_free);
  nothing = holding_new ();
  nothing->born = engine->held->born;
  holding_free (engine->held);
  engine->held = nothing;
  engine->known = false;
}

void
stock_report (struct stock *stock, const char *id,
              const struct holding *holding, struct timespec now,
              struct action_list *out)
{
  struct stock_engine *engine = g_hash_table_lookup (stock->engines, id);

  if (engine == NULL)
    return;
  engine->asking = false;
  if (holding == NULL || holding_newer (engine->held, holding))
    return;
  if (holding->born != engine->held->born)
    take_start (stock, engine, holding);
  engine->known = true;
  holding_free (engine->held);
  engine->held = holding_copy (holding);
  stock_compare (stock, engine, now, out);
}

/* Notes COUNT calls of TARGET, and of its model.  */
static void
note_calls (struct rates *rates, const char *target, double count,
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
stock_call (struct stock *stock, const char *target, double count,
            struct timespec now)
{
  if (ts_is_zero (stock->called_at))
    stock->called_at = now;
  note_calls (stock->demand, target, count, now);
}

void
stock_want (struct stock *stock, const char *node, const char *target,
            unsigned waiting, unsigned priority, struct timespec now)
{
  char *key = g_strdup_printf ("%s %s", node, target);
  struct stock_want *want = g_hash_table_lookup (stock->wants, key);

  /* Who waits no longer has just been sent to an engine: its call was counted
     when it came.  */
  if (want != NULL && waiting < want->waiting)
    note_calls (stock->sent, target, 0, now);
  if (waiting == 0)
    {
      g_hash_table_remove (stock->wants, key);
      g_free (key);
      return;
    }
  want = g_new0 (struct stock_want, 1);
  want->node = g_strdup (node);
  want->target = g_strdup (target);
  want->waiting = waiting;
  want->priority = priority;
  g_hash_table_replace (stock->wants, key, want);
}

void
stock_node_gone (struct stock *stock, const char *node)
{
  const struct stock_want *want;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, stock->wants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&want))
    if (strcmp (want->node, node) == 0)
      g_hash_table_iter_remove (&iter);
}

void
stock_tick (struct stock *stock, struct timespec now, struct action_list *out)
{
  struct stock_engine *engine;
  GHashTableIter iter;

  if (stock->service == NULL)
    return;
  g_hash_table_iter_init (&iter, stock->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    stock_follow (stock, engine, now, out);
  stock_plan (stock, now, out);
}

struct timespec
stock_next (const struct stock *stock, struct timespec now)
{
  struct timespec next = ts_add_ms (now, STOCK_TICK_MS);
  const struct stock_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, stock->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->order.stage == STAGE_RUNNING
        && engine->order.type == BACKEND_ADAPTER_LOAD)
      next = ts_min (next, ts_max (now, engine->order.ready_at));
  return next;
}

struct each
{
  void (*fn) (void *user, const struct peer_replica *replica);
  void *user;
  struct timespec now;
};

/* A model that is being unloaded gets no new requests.  */
static bool
being_unloaded (const struct stock_engine *engine, const char *model,
                const char *adapter)
{
  const struct stock_order *order = &engine->order;

  if (order->stage == STAGE_NONE || strcmp (order->model, model) != 0)
    return false;
  if (order->type == BACKEND_UNLOAD)
    return true;
  return order->type == BACKEND_ADAPTER_UNLOAD && adapter != NULL
         && strcmp (order->adapter, adapter) == 0;
}

static void
each_held (const struct stock_engine *engine,
           const struct holding_model *model, const struct each *each)
{
  struct peer_replica replica = { .engine = engine->id,
                                  .address = engine->address,
                                  .model = model->name,
                                  .state = BACKEND_COPY_LOADED,
                                  .leaving = engine->leaving };

  if (being_unloaded (engine, model->name, NULL))
    replica.state = BACKEND_COPY_UNLOADING;
  each->fn (each->user, &replica);
  for (guint i = 0; i < model->adapters->len; i++)
    {
      replica.adapter = g_ptr_array_index (model->adapters, i);
      replica.state = BACKEND_COPY_LOADED;
      if (being_unloaded (engine, model->name, replica.adapter))
        replica.state = BACKEND_COPY_UNLOADING;
      each->fn (each->user, &replica);
    }
}

static void
each_coming (const struct stock_engine *engine, const struct each *each)
{
  const struct stock_order *order = &engine->order;
  struct peer_replica replica = { .engine = engine->id,
                                  .address = engine->address,
                                  .model = order->model,
                                  .adapter = order->adapter,
                                  .state = BACKEND_COPY_LOADING,
                                  .leaving = engine->leaving };

  if (order->stage == STAGE_NONE || order->type != BACKEND_LOAD
      || holding_model (engine->held, order->model) != NULL)
    return;
  if (order->stage == STAGE_RUNNING && ts_before (each->now, order->ready_at))
    replica.ready_ms
        = (uint64_t)ts_to_ms (ts_sub (order->ready_at, each->now));
  each->fn (each->user, &replica);
}

/* On no engine yet.  */
static void
each_expected (const struct stock *stock, const struct each *each)
{
  const struct timespec *at;
  GHashTableIter iter;
  char *model;

  g_hash_table_iter_init (&iter, stock->expected);
  while (g_hash_table_iter_next (&iter, (gpointer *)&model, (gpointer *)&at))
    {
      struct peer_replica replica = { .engine = (char *)SERVERS_NOWHERE,
                                      .model = model,
                                      .state = BACKEND_COPY_LOADING };

      if (ts_before (each->now, *at))
        replica.ready_ms = (uint64_t)ts_to_ms (ts_sub (*at, each->now));
      each->fn (each->user, &replica);
    }
}

void
stock_each (const struct stock *stock, struct timespec now,
            void (*fn) (void *user, const struct peer_replica *replica),
            void *user)
{
  struct each each = { .fn = fn, .user = user, .now = now };
  const struct stock_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, stock->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      for (guint i = 0; i < engine->held->models->len; i++)
        each_held (engine, g_ptr_array_index (engine->held->models, i), &each);
      each_coming (engine, &each);
    }
  each_expected (stock, &each);
}

unsigned
stock_open (const struct stock *stock)
{
  const struct stock_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, stock->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    n += engine->order.stage != STAGE_NONE;
  return n;
}
