#include <string.h>
#include "stock_state.h"
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
  struct stock_action *mine = (struct stock_action *)action;

  g_free (mine->engine);
  g_free (mine->address);
  g_free (mine->model);
  g_free (mine->adapter);
  g_free (mine->reason);
}

static struct stock_action *
push (const struct stock_engine *engine, enum stock_action_type type,
      struct action_list *out)
{
  struct stock_action *action = action_push (out, sizeof *action, type);
  const struct stock_order *order = &engine->order;

  action->action.release = action_release;
  action->engine = g_strdup (engine->id);
  action->address = g_strdup (engine->address);
  if (type == STOCK_ASK)
    return action;
  action->type = order->type;
  action->model = g_strdup (order->model);
  action->adapter = g_strdup (order->adapter);
  action->expected = order->expected;
  action->reason = g_strdup (order->reason);
  return action;
}

bool
stock_can_order (const struct stock_engine *engine, struct timespec now)
{
  return engine->known && engine->order.stage == STAGE_NONE && !engine->leaving
         && !engine->held->busy && !ts_before (now, engine->quiet_until);
}

double
stock_load_s (const struct stock_engine *engine,
              const struct site_model *model, bool *fetches)
{
  *fetches = false;
  if (holding_names (engine->held->in_memory, model->name))
    return model->memory_s;
  if (holding_names (engine->held->on_disk, model->name))
    return model->disk_s;
  *fetches = true;
  return model->load_s;
}

const struct site_model *
stock_model (const struct stock *stock, const char *name)
{
  return g_hash_table_lookup (stock->models, name);
}

int64_t
stock_free_mb (const struct stock *stock, const struct stock_engine *engine)
{
  const struct stock_order *order = &engine->order;
  int64_t left
      = (int64_t)stock->service->memory_mb - (int64_t)stock->reserved_mb;
  const struct site_model *model;

  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct holding_model *held
          = g_ptr_array_index (engine->held->models, i);

      model = stock_model (stock, held->name);
      left -= model != NULL ? (int64_t)model->memory_mb
                            : (int64_t)stock->service->memory_mb;
    }
  if (order->stage == STAGE_NONE || order->type != BACKEND_LOAD
      || holding_model (engine->held, order->model) != NULL)
    return left;
  model = stock_model (stock, order->model);
  return left - (model != NULL ? (int64_t)model->memory_mb : 0);
}

void
stock_order_clear (struct stock *stock, struct stock_engine *engine)
{
  struct stock_order *order = &engine->order;

  if (order->stage != STAGE_NONE && order->fetches)
    budget_done (&stock->budget, 0, 0);
  g_free (order->model);
  g_free (order->adapter);
  g_free (order->reason);
  memset (order, 0, sizeof *order);
}

static void
settle (struct stock *stock, struct stock_engine *engine, bool ok,
        struct action_list *out)
{
  push (engine, STOCK_SETTLED, out)->ok = ok;
  stock_order_clear (stock, engine);
}

unsigned
stock_foreign (const struct stock *stock)
{
  const struct stock_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, stock->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    n += engine->held->busy && engine->order.stage == STAGE_NONE;
  return n;
}

void
stock_give (struct stock *stock, struct stock_engine *engine,
            enum backend_order_type type, const char *model,
            const char *adapter, char *reason, struct timespec now,
            struct action_list *out)
{
  struct stock_order *order = &engine->order;

  order->stage = STAGE_SENT;
  order->type = type;
  order->model = g_strdup (model);
  order->adapter = g_strdup (adapter);
  order->reason = reason;
  order->expected = engine->held->sequence;
  order->sent_at = now;
  if (type == BACKEND_LOAD)
    stock_load_s (engine, stock_model (stock, model), &order->fetches);
  if (order->fetches)
    {
      budget_take (&stock->budget, now);
      order->abreast = stock->budget.flying + stock_foreign (stock);
    }
  push (engine, STOCK_ORDER, out);
}

static bool
is_done (const struct stock_engine *engine)
{
  const struct stock_order *order = &engine->order;
  bool there = holding_has (engine->held, order->model, order->adapter);

  if (order->type == BACKEND_LOAD || order->type == BACKEND_ADAPTER_LOAD)
    return there;
  return !there;
}

/* What the engine holds afterwards, as far as the order alone goes.  */
static void
apply (struct stock_engine *engine)
{
  const struct stock_order *order = &engine->order;
  struct holding_model *model;

  if (order->type == BACKEND_LOAD)
    holding_add (engine->held, order->model);
  else if (order->type == BACKEND_UNLOAD)
    holding_remove (engine->held, order->model);
  model = holding_model (engine->held, order->model);
  if (model != NULL && order->type == BACKEND_ADAPTER_LOAD)
    holding_add_adapter (model, order->adapter);
  else if (model != NULL && order->type == BACKEND_ADAPTER_UNLOAD)
    holding_remove_adapter (model, order->adapter);
}

static void
accepted (struct stock *stock, struct stock_engine *engine,
          struct timespec now, struct action_list *out)
{
  struct stock_order *order = &engine->order;
  const struct site_model *model = stock_model (stock, order->model);
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
      settle (stock, engine, true, out);
      return;
    }
  order->stage = STAGE_RUNNING;
  engine->held->busy = true;
  order->ready_at = now;
  if (order->type == BACKEND_LOAD && model != NULL)
    order->ready_at
        = ts_add (now, ts_from_s (stock_load_s (engine, model, &fetches)));
  order->next_at = ts_add_ms (order->ready_at, REPORT_LAG_MS);
}

static void
ask (struct stock_engine *engine, struct action_list *out)
{
  if (engine->asking)
    return;
  engine->asking = true;
  push (engine, STOCK_ASK, out);
}

/* A sending before this one may have been carried out: only a report can
   tell.  */
static void
refused (struct stock *stock, struct stock_engine *engine, struct timespec now,
         struct action_list *out)
{
  struct stock_order *order = &engine->order;

  engine->quiet_until = ts_add_ms (now, REFUSED_MS);
  if (order->doubtful)
    {
      order->stage = STAGE_UNSURE;
      order->next_at = ts_add_ms (now, RESEND_MS);
    }
  else
    settle (stock, engine, false, out);
}

void
stock_answered (struct stock *stock, const char *id,
                enum backend_status status, struct timespec now,
                struct action_list *out)
{
  struct stock_engine *engine = g_hash_table_lookup (stock->engines, id);

  if (engine == NULL || engine->order.stage != STAGE_SENT)
    return;
  switch (status)
    {
    case BACKEND_ACCEPTED:
      accepted (stock, engine, now, out);
      break;
    case BACKEND_HOLDS:
      /* An adapter that no request uses is unloaded with this answer, which
         counts as an order; if it was not there, the next order is refused
         and a report tells the count.  */
      if (engine->order.type == BACKEND_ADAPTER_UNLOAD)
        engine->held->sequence = engine->order.expected + 1;
      apply (engine);
      settle (stock, engine, true, out);
      break;
    case BACKEND_BUSY:
      engine->known = false;
      engine->held->sequence = 0;
      engine->ask_at = ts_add_ms (now, REPORT_LAG_MS);
      refused (stock, engine, now, out);
      ask (engine, out);
      break;
    case BACKEND_MOVED:
      engine->leaving = true;
      settle (stock, engine, false, out);
      break;
    case BACKEND_REFUSED:
    case BACKEND_FENCED:
    case BACKEND_DOWN:
      refused (stock, engine, now, out);
      break;
    case BACKEND_UNKNOWN:
      engine->order.doubtful = true;
      engine->order.stage = STAGE_UNSURE;
      engine->order.next_at = ts_add_ms (now, RESEND_MS);
      break;
    }
}

/* The engine has accepted more orders than before this one was sent.  */
static void
compare_unsure (struct stock *stock, struct stock_engine *engine,
                struct timespec now, struct action_list *out)
{
  struct stock_order *order = &engine->order;

  if (engine->held->sequence <= order->expected)
    return;
  if (engine->held->busy)
    {
      order->stage = STAGE_RUNNING;
      order->ready_at = now;
      order->next_at = ts_add_ms (now, ASK_MS);
    }
  else
    settle (stock, engine, is_done (engine), out);
}

static void
learn_speed (struct stock *stock, const struct stock_order *order,
             struct timespec now)
{
  const struct site_model *model = stock_model (stock, order->model);

  if (model != NULL && !ts_is_zero (order->accepted_at))
    budget_learn (&stock->budget, order->abreast,
                  ts_to_s (ts_sub (now, order->accepted_at)), model->load_s);
}

void
stock_compare (struct stock *stock, struct stock_engine *engine,
               struct timespec now, struct action_list *out)
{
  struct stock_order *order = &engine->order;
  struct timespec overdue = ts_add_ms (order->ready_at, OVERDUE_MS);

  if (order->stage == STAGE_UNSURE)
    compare_unsure (stock, engine, now, out);
  else if (order->stage == STAGE_RUNNING && is_done (engine))
    {
      if (order->fetches)
        learn_speed (stock, order, now);
      settle (stock, engine, true, out);
    }
  else if (order->stage == STAGE_RUNNING && !engine->held->busy
           && !ts_before (now, overdue))
    settle (stock, engine, false, out);
}

void
stock_doubt (struct stock_engine *engine, struct timespec now,
             struct action_list *out)
{
  if (ts_before (now, engine->ask_at))
    return;
  engine->ask_at = ts_add_ms (now, DOUBT_MS);
  ask (engine, out);
}

static void
send_again (struct stock_engine *engine, struct timespec now,
            struct action_list *out)
{
  engine->order.stage = STAGE_SENT;
  engine->order.sent_at = now;
  push (engine, STOCK_ORDER, out);
  ask (engine, out);
}

void
stock_follow (struct stock *stock, struct stock_engine *engine,
              struct timespec now, struct action_list *out)
{
  struct stock_order *order = &engine->order;

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
      settle (stock, engine, true, out);
    }
  else if (order->stage == STAGE_UNSURE && !ts_before (now, order->next_at))
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
