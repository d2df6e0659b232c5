#include "cell_state.h"

#include <string.h>
#include "counter.h"
#include "log.h"
#include "ts.h"

static void
delete_order (struct cell *cell, const char *order_id)
{
  intent_settled (cell->intent, order_id, cell_now (cell));
  g_hash_table_remove (cell->sent_orders, order_id);
}

static void
order_refused (struct cell *cell, const char *order_id, const char *why,
               struct action_list *list)
{
  struct log_line line;

  log_begin (&line, EVENT_PLACE_FAILED);
  log_str (&line, "cell", cell->name);
  log_str (&line, "order", order_id);
  log_str (&line, "why", why);
  log_end (&line);
  if (cell->place != NULL)
    place_order_settled (cell->place, order_id, false, why, cell_now (cell),
                         list);
}

static void
order_answered (struct cell *cell, const char *order_id,
                enum backend_status status, const char *why)
{
  struct sent_order *sent = g_hash_table_lookup (cell->sent_orders, order_id);
  struct action_list list;

  if (sent == NULL)
    return;
  sent->pending_calls--;
  if (sent->settled && sent->pending_calls == 0)
    {
      delete_order (cell, order_id);
      return;
    }
  action_list_init (&list);
  if (status == BACKEND_FENCED || status == BACKEND_ACCEPTED)
    fleet_request_report (cell->options.fleet, sent->engine);
  if (status == BACKEND_REFUSED || status == BACKEND_FENCED)
    order_refused (cell, order_id, why, &list);
  else if (status == BACKEND_ACCEPTED && cell->place != NULL)
    place_order_settled (cell->place, order_id, true, "", cell_now (cell),
                         &list);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

static void
on_order (void *user, enum backend_status status, const char *why)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);

  if (cell != NULL)
    {
      if (status != BACKEND_UNKNOWN)
        lease_order_answered (cell->lease, call->attempt, cell_now (cell));
      order_answered (cell, call->order_id, status, why);
      cell_set_timer (cell);
    }
  cell_pending_call_free (call);
}

void
cell_order_released (struct cell *cell, const struct backend_order *order)
{
  struct sent_order *sent;

  if (g_hash_table_contains (cell->sent_orders, order->order_id))
    return;
  sent = g_new0 (struct sent_order, 1);
  sent->engine = g_strdup (order->engine);
  g_hash_table_insert (cell->sent_orders, g_strdup (order->order_id), sent);
}

static void
count_order (const struct backend_order *order)
{
  if (order->type == BACKEND_LOAD)
    counter_add (COUNTER_LOAD_ORDERS, 1);
  else if (order->type == BACKEND_UNLOAD)
    counter_add (COUNTER_UNLOAD_ORDERS, 1);
}

/* Reads the clock directly before sending, so that no order is sent after the
   lease has expired.  */
void
cell_send (struct cell *cell, const struct backend_order *order)
{
  struct backend *backend = cell->core->backend;
  struct backend_order fenced = *order;
  struct sent_order *sent
      = g_hash_table_lookup (cell->sent_orders, order->order_id);

  if (sent == NULL || sent->pending_calls > 0)
    return;
  if (!cell_fence_confirmed (cell, order->engine)
      || !lease_may_send (cell->lease, clk_now (cell->core->clk)))
    return;
  sent->pending_calls++;
  fenced.fence = lease_fence (cell->lease);
  count_order (order);
  lease_order_sent (cell->lease, cell_now (cell));
  backend->ops->order (
      backend, &fenced, on_order,
      cell_pending_call_new (cell, fenced.fence, order->order_id));
}

static void
log_order (const struct cell *cell, const struct place_action *action)
{
  static const char *const types[] = { "load",         "unload",
                                       "adapter_load", "adapter_unload",
                                       "preload",      "role" };
  const struct backend_order *order = &action->order;
  bool unload
      = order->type == BACKEND_UNLOAD || order->type == BACKEND_ADAPTER_UNLOAD;
  struct log_line line;

  log_begin (&line, unload ? EVENT_PLACE_UNLOAD : EVENT_PLACE_LOAD);
  log_str (&line, "cell", cell->name);
  log_str (&line, "type", types[order->type]);
  log_str (&line, "order", order->order_id);
  log_str (&line, "engine", order->engine);
  log_str (&line, "model", order->model);
  log_str (&line, "adapter", order->adapter);
  log_str (&line, "version", order->version);
  log_int (&line, "memory_mb", (int64_t)order->memory_mb);
  log_str (&line, "reason", action->reason);
  log_end (&line);
}

static void
journal_order (struct cell *cell, const struct place_action *action,
               struct action_list *list)
{
  const struct fleet_engine *engine
      = fleet_engine (cell->options.fleet, action->order.engine);
  struct backend_order order = action->order;
  int err;

  order.epoch = engine != NULL ? engine->epoch : 0;
  err = intent_order (cell->intent, &order, cell_now (cell));
  if (err == 0)
    log_order (cell, action);
  else
    place_order_settled (cell->place, action->order.order_id, false,
                         g_strerror (-err), cell_now (cell), list);
}

static void
log_loaded (const struct cell *cell, const struct backend_order *order)
{
  struct log_line line;

  log_begin (&line, EVENT_PLACE_LOADED);
  log_str (&line, "cell", cell->name);
  log_str (&line, "order", order->order_id);
  log_str (&line, "engine", order->engine);
  log_str (&line, "model", order->model);
  log_str (&line, "version", order->version);
  log_end (&line);
}

/* Deletes the journal entry, but not while a pending call may still reach the
   engine.  */
static void
order_settled (struct cell *cell, const struct place_action *action)
{
  const char *order_id = action->order.order_id;
  struct sent_order *sent = g_hash_table_lookup (cell->sent_orders, order_id);

  if (action->ok && action->order.type == BACKEND_LOAD)
    log_loaded (cell, &action->order);
  if (sent != NULL && sent->pending_calls > 0)
    sent->settled = true;
  else
    delete_order (cell, order_id);
}

void
cell_run_placement_actions (struct cell *cell, struct action_list *list)
{
  struct action *next;
  bool any = false;

  while ((next = action_pop (list)) != NULL)
    {
      const struct place_action *action = (struct place_action *)next;

      if (next->type == PLACE_SETTLED)
        order_settled (cell, action);
      else if (action->resent)
        cell_send (cell, &action->order);
      else
        journal_order (cell, action, list);
      any = true;
      action_free (next);
    }
  if (any)
    kernel_post (cell->core->kernel, KERNEL_CELLS_CHANGED, NULL);
}
