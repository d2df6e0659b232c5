#include <string.h>
#include "planner_state.h"
#include "ts.h"

#define RESEND_MS 400     /* an order without an answer is sent again */
#define REPORT_LAG_MS 150 /* reports are older than the engine's state */
#define ASK_MS 250        /* between reports while an order is carried out */
/* An adapter takes some 10 ms, longer in proportion while many are on their
   way; to unload it before it is there has no effect.  */
#define ADAPTER_MS 400
/* By then it usually has come; no report says so in time.  */
#define ARRIVES_MS 15
#define DOUBT_MS 500    /* between reports of an engine that may be gone */
#define REFUSED_MS 400  /* no further order after a refusal */
#define OVERDUE_MS 4000 /* an accepted order that shows nowhere was lost */

static void
action_release (struct action *action)
{
  struct planner_action *mine = (struct planner_action *)action;

  g_free (mine->engine);
  g_free (mine->address);
  g_free (mine->model);
  g_free (mine->adapter);
  g_free (mine->reason);
}

static struct planner_action *
push (const struct planner_engine *engine, enum planner_action_type type,
      struct action_list *out)
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
  action->reason = g_strdup (order->reason);
  return action;
}

bool
planner_can_order (const struct planner_engine *engine, struct timespec now)
{
  return engine->known && engine->order.stage == STAGE_NONE && !engine->leaving
         && !engine->held->busy && !ts_before (now, engine->quiet_until);
}

double
planner_load_s (const struct planner_engine *engine,
                const struct site_model *model, bool *fetches)
{
  *fetches = false;
  if (inventory_name_listed (engine->held->in_memory, model->name))
    return model->memory_s;
  if (inventory_name_listed (engine->held->on_disk, model->name))
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
  int64_t left
      = (int64_t)planner->service->memory_mb - (int64_t)planner->reserved_mb;
  const struct site_model *model;

  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->held->models, i);

      model = planner_model (planner, held->name);
      left -= model != NULL ? (int64_t)model->memory_mb
                            : (int64_t)planner->service->memory_mb;
    }
  if (order->stage == STAGE_NONE || order->type != BACKEND_LOAD
      || inventory_model (engine->held, order->model) != NULL)
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
settle (struct planner *planner, struct planner_engine *engine, bool ok,
        struct action_list *out)
{
  push (engine, PLANNER_ORDER_DONE, out)->ok = ok;
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
    n += engine->held->busy && engine->order.stage == STAGE_NONE;
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
  order->expected = engine->held->sequence;
  order->sent_at = now;
  if (type == BACKEND_LOAD)
    planner_load_s (engine, planner_model (planner, model), &order->fetches);
  if (order->fetches)
    {
      budget_take (&planner->budget, now);
      order->abreast
          = planner->budget.in_flight + planner_previous_fetches (planner);
    }
  push (engine, PLANNER_ORDER, out);
}

static bool
is_done (const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  bool there = inventory_has (engine->held, order->model, order->adapter);

  if (order->type == BACKEND_LOAD || order->type == BACKEND_ADAPTER_LOAD)
    return there;
  return !there;
}

/* What the engine holds afterwards, as far as the order alone goes.  */
static void
apply (struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  struct inventory_model *model;

  if (order->type == BACKEND_LOAD)
    inventory_add (engine->held, order->model);
  else if (order->type == BACKEND_UNLOAD)
    inventory_remove_model (engine->held, order->model);
  model = inventory_model (engine->held, order->model);
  if (model != NULL && order->type == BACKEND_ADAPTER_LOAD)
    inventory_add_adapter (model, order->adapter);
  else if (model != NULL && order->type == BACKEND_ADAPTER_UNLOAD)
    inventory_remove_adapter (model, order->adapter);
}

static void
accepted (struct planner *planner, struct planner_engine *engine,
          struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;
  const struct site_model *model = planner_model (planner, order->model);
  bool fetches;

  order->accepted_at = now;
  engine->held->sequence = order->expected + 1;
  if (order->type == BACKEND_ADAPTER_LOAD)
    {
      engine->settled_at = ts_add_ms (now, ADAPTER_MS);
      order->stage = STAGE_RUNNING;
      order->ready_at = ts_add_ms (now, ARRIVES_MS);
      return;
    }
  if (order->type == BACKEND_ADAPTER_UNLOAD)
    {
      apply (engine);
      settle (planner, engine, true, out);
      return;
    }
  order->stage = STAGE_RUNNING;
  engine->held->busy = true;
  order->ready_at = now;
  if (order->type == BACKEND_LOAD && model != NULL)
    order->ready_at
        = ts_add (now, ts_from_s (planner_load_s (engine, model, &fetches)));
  order->next_at = ts_add_ms (order->ready_at, REPORT_LAG_MS);
}

static void
ask (struct planner_engine *engine, struct action_list *out)
{
  if (engine->asking)
    return;
  engine->asking = true;
  push (engine, PLANNER_GET_REPORT, out);
}

/* A sending before this one may have been carried out: only a report can
   tell.  */
static void
refused (struct planner *planner, struct planner_engine *engine,
         struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  engine->quiet_until = ts_add_ms (now, REFUSED_MS);
  if (order->doubtful)
    {
      order->stage = STAGE_UNKNOWN;
      order->next_at = ts_add_ms (now, RESEND_MS);
    }
  else
    settle (planner, engine, false, out);
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
      accepted (planner, engine, now, out);
      break;
    case BACKEND_UNCHANGED:
      /* An adapter that no request uses is unloaded with this answer, which
         counts as an order; if it was not there, the next order is refused
         and a report tells the count.  */
      if (engine->order.type == BACKEND_ADAPTER_UNLOAD)
        engine->held->sequence = engine->order.expected + 1;
      apply (engine);
      settle (planner, engine, true, out);
      break;
    case BACKEND_BUSY:
      engine->known = false;
      engine->held->sequence = 0;
      engine->ask_at = ts_add_ms (now, REPORT_LAG_MS);
      refused (planner, engine, now, out);
      ask (engine, out);
      break;
    case BACKEND_WRONG_INSTANCE:
      engine->leaving = true;
      settle (planner, engine, false, out);
      break;
    case BACKEND_REFUSED:
    case BACKEND_FENCED:
    case BACKEND_DOWN:
      refused (planner, engine, now, out);
      break;
    case BACKEND_UNKNOWN:
      engine->order.doubtful = true;
      engine->order.stage = STAGE_UNKNOWN;
      engine->order.next_at = ts_add_ms (now, RESEND_MS);
      break;
    }
}

/* The engine has accepted more orders than before this one was sent.  */
static void
compare_unsure (struct planner *planner, struct planner_engine *engine,
                struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  if (engine->held->sequence <= order->expected)
    return;
  if (engine->held->busy)
    {
      order->stage = STAGE_RUNNING;
      order->ready_at = now;
      order->next_at = ts_add_ms (now, ASK_MS);
    }
  else
    settle (planner, engine, is_done (engine), out);
}

static void
learn_speed (struct planner *planner, const struct planner_order *order,
             struct timespec now)
{
  const struct site_model *model = planner_model (planner, order->model);

  if (model != NULL && !ts_is_zero (order->accepted_at))
    budget_record_fetch (&planner->budget, order->abreast,
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
    compare_unsure (planner, engine, now, out);
  else if (order->stage == STAGE_RUNNING && is_done (engine))
    {
      if (order->fetches)
        learn_speed (planner, order, now);
      settle (planner, engine, true, out);
    }
  else if (order->stage == STAGE_RUNNING && !engine->held->busy
           && !ts_before (now, overdue))
    settle (planner, engine, false, out);
}

void
planner_verify_engine (struct planner_engine *engine, struct timespec now,
                       struct action_list *out)
{
  if (ts_before (now, engine->ask_at))
    return;
  engine->ask_at = ts_add_ms (now, DOUBT_MS);
  ask (engine, out);
}

static void
send_again (struct planner_engine *engine, struct timespec now,
            struct action_list *out)
{
  engine->order.stage = STAGE_SENT;
  engine->order.sent_at = now;
  push (engine, PLANNER_ORDER, out);
  ask (engine, out);
}

void
planner_advance_order (struct planner *planner, struct planner_engine *engine,
                       struct timespec now, struct action_list *out)
{
  struct planner_order *order = &engine->order;

  if (!engine->known && !engine->leaving && !ts_before (now, engine->ask_at))
    {
      ask (engine, out);
      engine->ask_at = ts_add_ms (now, ASK_MS);
    }
  else if (order->stage == STAGE_RUNNING
           && order->type == BACKEND_ADAPTER_LOAD)
    {
      if (ts_before (now, order->ready_at))
        return;
      apply (engine);
      settle (planner, engine, true, out);
    }
  else if (order->stage == STAGE_UNKNOWN && !ts_before (now, order->next_at))
    send_again (engine, now, out);
  else if (order->stage == STAGE_RUNNING && !ts_before (now, order->next_at))
    {
      ask (engine, out);
      order->next_at = ts_add_ms (now, ASK_MS);
    }
  else if (order->stage == STAGE_NONE && engine->held->busy
           && !ts_before (now, engine->quiet_until))
    {
      ask (engine, out);
      engine->quiet_until = ts_add_ms (now, ASK_MS);
    }
}
