#include <string.h>
#include "planner_state.h"
#include "ts.h"

#define RESEND_MS 400          /* after an attempt of unknown outcome */
#define REPORT_LAG_MS 150      /* age of the state in a report */
#define REPORT_INTERVAL_MS 250 /* while an order is in progress */
/* No adapter is unloaded within this time of an adapter load.  An adapter
   takes about 10 ms to load, times the number of concurrent loads, and an
   unload before it is loaded has no effect.  */
#define ADAPTER_SETTLE_MS 400
/* An adapter is assumed to be loaded after this time, because reports lag by
   more than that.  */
#define ADAPTER_LOAD_MS 15
#define PROBE_INTERVAL_MS 500  /* of an engine that may be down */
#define REFUSED_BACKOFF_MS 400 /* no order after a refusal */
/* An accepted order has failed when no report shows its effect this long after
   its estimated end.  */
#define OVERDUE_MS 4000

static void
action_release (struct action *action)
{
  struct planner_action *planner_action = (struct planner_action *)action;

  g_free (planner_action->engine);
  g_free (planner_action->address);
  g_free (planner_action->model);
  g_free (planner_action->adapter);
  g_free (planner_action->reason);
}

static struct planner_action *
push_action (const struct planner_engine *engine,
             enum planner_action_type type, struct action_list *out)
{
  struct planner_action *action = action_push (out, sizeof *action, type);
  const struct planner_order *order = &engine->order;

  action->action.release = action_release;
  action->engine = g_strdup (engine->id);
  action->address = g_strdup (engine->address);
  if (type == PLANNER_GET_REPORT)
    return action;
  action->type = order->type;
  action->model = g_strdup (order->model);
  action->adapter = g_strdup (order->adapter);
  action->expected = order->expected;
  action->fetches = order->fetches;
  action->reason = g_strdup (order->reason);
  return action;
}

bool
planner_can_order (const struct planner_engine *engine, struct timespec now)
{
  return engine->has_report && engine->order.stage == STAGE_NONE
         && !engine->leaving && !engine->inventory->busy
         && !ts_before (now, engine->no_order_before);
}

double
planner_load_s (const struct planner_engine *engine,
                const struct site_model *model, bool *fetches)
{
  *fetches = false;
  if (inventory_name_listed (engine->inventory->in_memory, model->name))
    return model->memory_s;
  if (inventory_name_listed (engine->inventory->on_disk, model->name))
    return model->disk_s;
  *fetches = true;
  return model->load_s;
}

const struct site_model *
planner_model (const struct planner *planner, const char *name)
{
  return g_hash_table_lookup (planner->models, name);
}

int64_t
planner_free_mb (const struct planner *planner,
                 const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  int64_t left = (int64_t)planner->service->memory_mb
                 - (int64_t)planner->adapter_reserve_mb;
  const struct site_model *model;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);

      model = planner_model (planner, held->name);
      left -= model != NULL ? (int64_t)model->memory_mb
                            : (int64_t)planner->service->memory_mb;
    }
  if (order->stage == STAGE_NONE || order->type != BACKEND_LOAD
      || inventory_model (engine->inventory, order->model) != NULL)
    return left;
  model = planner_model (planner, order->model);
  return left - (model != NULL ? (int64_t)model->memory_mb : 0);
}

void
planner_clear_order (struct planner *planner, struct planner_engine *engine)
{
  struct planner_order *order = &engine->order;

  if (order->stage != STAGE_NONE && order->fetches)
    budget_done (&planner->budget, 0, 0);
  g_free (order->model);
  g_free (order->adapter);
  g_free (order->reason);
  memset (order, 0, sizeof *order);
}

static void
close_order (struct planner *planner, struct planner_engine *engine, bool ok,
             struct action_list *out)
{
  push_action (engine, PLANNER_ORDER_DONE, out)->ok = ok;
  planner_clear_order (planner, engine);
}

unsigned
planner_previous_fetches (const struct planner *planner)
{
  const struct planner_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    n += engine->inventory->busy && engine->order.stage == STAGE_NONE;
  return n;
}

void
planner_issue_order (struct planner *planner, struct planner_engine *engine,
                     enum backend_order_type type, const char *model,
                     const char *adapter, char *reason, struct timespec now,
                     struct action_list *out)
{
  struct planner_order *order = &engine->order;

  order->stage = STAGE_SENT;
  order->type = type;
  order->model = g_strdup (model);
  order->adapter = g_strdup (adapter);
  order->reason = reason;
  order->expected = engine->inventory->sequence;
  order->sent_at = now;
  if (type == BACKEND_LOAD)
    planner_load_s (engine, planner_model (planner, model), &order->fetches);
  if (order->fetches)
    {
      budget_take (&planner->budget, now);
      order->concurrent
          = planner->budget.in_flight + planner_previous_fetches (planner);
    }
  push_action (engine, PLANNER_ORDER, out);
}

/* Whether the engine's contents show the effect of its open order.  */
static bool
is_applied (const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  bool loaded
      = inventory_has (engine->inventory, order->model, order->adapter);

  if (order->type == BACKEND_LOAD || order->type == BACKEND_ADAPTER_LOAD)
    return loaded;
  return !loaded;
}

/* Updates the engine's contents with the effect of its open order.  */
static void
apply_order (struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  struct inventory_model *model;

  if (order->type == BACKEND_LOAD)
    inventory_add (engine->inventory, order->model);
  else if (order->type == BACKEND_UNLOAD)
    inventory_remove_model (engine->inventory, order->model);
  model = inventory_model (engine->inventory, order->model);
  if (model != NULL && order->type == BACKEND_ADAPTER_LOAD)
    inventory_add_adapter (model, order->adapter);
  else if (model != NULL && order->type == BACKEND_ADAPTER_UNLOAD)
    inventory_remove_adapter (model, order->adapter);
}

static void
order_accepted (struct planner *planner, struct planner_engine *engine,
                struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;
  const struct site_model *model = planner_model (planner, order->model);
  bool fetches;

  order->accepted_at = now;
  engine->inventory->sequence = order->expected + 1;
  if (order->type == BACKEND_ADAPTER_LOAD)
    {
      engine->adapters_settled_at = ts_add_ms (now, ADAPTER_SETTLE_MS);
      order->stage = STAGE_RUNNING;
      order->ready_at = ts_add_ms (now, ADAPTER_LOAD_MS);
      return;
    }
  if (order->type == BACKEND_ADAPTER_UNLOAD)
    {
      apply_order (engine);
      close_order (planner, engine, true, out);
      return;
    }
  order->stage = STAGE_RUNNING;
  engine->inventory->busy = true;
  order->ready_at = now;
  if (order->type == BACKEND_LOAD && model != NULL)
    order->ready_at
        = ts_add (now, ts_from_s (planner_load_s (engine, model, &fetches)));
  order->next_at = ts_add_ms (order->ready_at, REPORT_LAG_MS);
}

static void
request_report (struct planner_engine *engine, struct action_list *out)
{
  if (engine->report_pending)
    return;
  engine->report_pending = true;
  push_action (engine, PLANNER_GET_REPORT, out);
}

/* If an earlier attempt may have been carried out, only a report can show the
   outcome, and the order stays open.  */
static void
order_refused (struct planner *planner, struct planner_engine *engine,
               struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  engine->no_order_before = ts_add_ms (now, REFUSED_BACKOFF_MS);
  if (order->maybe_applied)
    {
      order->stage = STAGE_UNKNOWN;
      order->next_at = ts_add_ms (now, RESEND_MS);
    }
  else
    close_order (planner, engine, false, out);
}

void
planner_order_answered (struct planner *planner, const char *id,
                        enum backend_status status, struct timespec now,
                        struct action_list *out)
{
  struct planner_engine *engine = g_hash_table_lookup (planner->engines, id);

  if (engine == NULL || engine->order.stage != STAGE_SENT)
    return;
  switch (status)
    {
    case BACKEND_ACCEPTED:
      order_accepted (planner, engine, now, out);
      break;
    case BACKEND_UNCHANGED:
      /* This is also the answer to the unload of an unused adapter, which
         engines count as an order.  If the adapter was not loaded, they did
         not count it: then the next order is refused and a report gives the
         right count.  */
      if (engine->order.type == BACKEND_ADAPTER_UNLOAD)
        engine->inventory->sequence = engine->order.expected + 1;
      apply_order (engine);
      close_order (planner, engine, true, out);
      break;
    case BACKEND_BUSY:
      engine->has_report = false;
      engine->inventory->sequence = 0;
      engine->next_report_at = ts_add_ms (now, REPORT_LAG_MS);
      order_refused (planner, engine, now, out);
      request_report (engine, out);
      break;
    case BACKEND_WRONG_INSTANCE:
      engine->leaving = true;
      close_order (planner, engine, false, out);
      break;
    case BACKEND_REFUSED:
    case BACKEND_FENCED:
    case BACKEND_DOWN:
      order_refused (planner, engine, now, out);
      break;
    case BACKEND_UNKNOWN:
      engine->order.maybe_applied = true;
      engine->order.stage = STAGE_UNKNOWN;
      engine->order.next_at = ts_add_ms (now, RESEND_MS);
      break;
    }
}

/* Resolves an order of unknown outcome.  Once the engine has accepted more
   than EXPECTED orders, the open order either was the one accepted after these
   or can no longer be accepted.  */
static void
check_unknown (struct planner *planner, struct planner_engine *engine,
               struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  if (engine->inventory->sequence <= order->expected)
    return;
  if (engine->inventory->busy)
    {
      order->stage = STAGE_RUNNING;
      order->ready_at = now;
      order->next_at = ts_add_ms (now, REPORT_INTERVAL_MS);
    }
  else
    close_order (planner, engine, is_applied (engine), out);
}

static void
record_fetch (struct planner *planner, const struct planner_order *order,
              struct timespec now)
{
  const struct site_model *model = planner_model (planner, order->model);

  if (model != NULL && !ts_is_zero (order->accepted_at))
    budget_record_fetch (&planner->budget, order->concurrent,
                         ts_to_s (ts_sub (now, order->accepted_at)),
                         model->load_s);
}

void
planner_check_order (struct planner *planner, struct planner_engine *engine,
                     struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;
  struct timespec overdue = ts_add_ms (order->ready_at, OVERDUE_MS);

  if (order->stage == STAGE_UNKNOWN)
    check_unknown (planner, engine, now, out);
  else if (order->stage == STAGE_RUNNING && is_applied (engine))
    {
      if (order->fetches)
        record_fetch (planner, order, now);
      if (order->type == BACKEND_LOAD)
        {
          g_free (engine->last_loaded);
          engine->last_loaded = g_strdup (order->model);
          engine->loaded_at = now;
        }
      close_order (planner, engine, true, out);
    }
  else if (order->stage == STAGE_RUNNING && !engine->inventory->busy
           && !ts_before (now, overdue))
    close_order (planner, engine, false, out);
}

void
planner_probe_engine (struct planner_engine *engine, struct timespec now,
                      struct action_list *out)
{
  if (ts_before (now, engine->next_report_at))
    return;
  engine->next_report_at = ts_add_ms (now, PROBE_INTERVAL_MS);
  request_report (engine, out);
}

static void
resend (struct planner_engine *engine, struct timespec now,
        struct action_list *out)
{
  engine->order.stage = STAGE_SENT;
  engine->order.sent_at = now;
  push_action (engine, PLANNER_ORDER, out);
  request_report (engine, out);
}

/* A fetch under way shows that it is slowed down before it ends, which may
   take several times as long as usual.  */
static void
check_slowed (struct planner *planner, const struct planner_engine *engine,
              struct timespec now)
{
  const struct planner_order *order = &engine->order;
  const struct site_model *model;

  if (!planner->by_delay || order->stage != STAGE_RUNNING || !order->fetches)
    return;
  model = planner_model (planner, order->model);
  if (model != NULL
      && budget_is_slowed (ts_to_s (ts_sub (now, order->accepted_at)),
                           model->load_s))
    budget_slowed (&planner->budget, order->concurrent);
}

void
planner_advance_order (struct planner *planner, struct planner_engine *engine,
                       struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  check_slowed (planner, engine, now);
  if (!engine->has_report && !engine->leaving
      && !ts_before (now, engine->next_report_at))
    {
      request_report (engine, out);
      engine->next_report_at = ts_add_ms (now, REPORT_INTERVAL_MS);
    }
  else if (order->stage == STAGE_RUNNING
           && order->type == BACKEND_ADAPTER_LOAD)
    {
      if (ts_before (now, order->ready_at))
        return;
      apply_order (engine);
      close_order (planner, engine, true, out);
    }
  else if (order->stage == STAGE_UNKNOWN && !ts_before (now, order->next_at))
    resend (engine, now, out);
  else if (order->stage == STAGE_RUNNING && !ts_before (now, order->next_at))
    {
      request_report (engine, out);
      order->next_at = ts_add_ms (now, REPORT_INTERVAL_MS);
    }
  else if (order->stage == STAGE_NONE && engine->inventory->busy
           && !ts_before (now, engine->no_order_before))
    {
      request_report (engine, out);
      engine->no_order_before = ts_add_ms (now, REPORT_INTERVAL_MS);
    }
}
