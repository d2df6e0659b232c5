#include "cell_state.h"

#include <string.h>
#include "backend_http.h"
#include "log.h"
#include "order.h"
#include "ts.h"

/* An order may arrive this long after its send began, so sending stops that
   long before the lease expires.  */
#define SEND_MARGIN_MS (BACKEND_HTTP_ORDER_MS + 200)

static void run_intent_actions (struct cell *cell, struct action_list *list);

struct timespec
cell_now (const struct cell *cell)
{
  return loop_now (cell->core->loop);
}

void
cell_sent_order_free (gpointer pointer)
{
  struct sent_order *sent = pointer;

  g_free (sent->engine);
  g_free (sent);
}

static void
predecessor_order_free (gpointer pointer)
{
  order_clear (pointer);
  g_free (pointer);
}

static void
cell_unref (struct cell *cell)
{
  cell->refs--;
  if (cell->refs > 0)
    return;
  lease_free (cell->lease);
  intent_free (cell->intent);
  g_hash_table_unref (cell->sent_orders);
  g_hash_table_unref (cell->fence_confirmed);
  g_hash_table_unref (cell->fence_pending);
  g_ptr_array_unref (cell->predecessor_orders);
  doc_unref (cell->doc);
  g_free (cell->name);
  g_free (cell->pool);
  g_free (cell->announced_holder);
  g_free (cell);
}

struct pending_call *
cell_pending_call_new (struct cell *cell, uint64_t attempt,
                       const char *order_id)
{
  struct pending_call *call = g_new0 (struct pending_call, 1);

  cell->refs++;
  call->cell = cell;
  call->attempt = attempt;
  call->order_id = g_strdup (order_id);
  return call;
}

struct cell *
cell_of_pending_call (const struct pending_call *call)
{
  return call->cell->freed ? NULL : call->cell;
}

void
cell_pending_call_free (struct pending_call *call)
{
  struct cell *cell = call->cell;

  g_free (call->order_id);
  g_free (call);
  cell_unref (cell);
}

void
cell_set_timer (struct cell *cell)
{
  struct timespec at = lease_next (cell->lease);
  struct timespec next = intent_next (cell->intent);

  if (!ts_is_zero (next))
    at = ts_min (at, next);
  if (cell->place != NULL)
    at = ts_min (at, place_next (cell->place, cell_now (cell)));
  loop_timer_set (cell->core->loop, &cell->timer, at);
}

static void
run_actions (struct cell *cell, struct action_list *leases,
             struct action_list *intents, struct action_list *places)
{
  if (leases != NULL)
    cell_run_lease_actions (cell, leases);
  if (intents != NULL)
    run_intent_actions (cell, intents);
  if (places != NULL)
    cell_run_placement_actions (cell, places);
  cell_set_timer (cell);
}

static void
log_cell (const struct cell *cell, enum log_event event, uint64_t fence)
{
  struct log_line line;

  log_begin (&line, event);
  log_str (&line, "cell", cell->name);
  log_int (&line, "fence", (int64_t)fence);
  log_end (&line);
}

/* Order journal.  */

static void
on_intent_rows (void *user, enum platform_status status,
                const struct platform_rows *rows)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);
  struct action_list list;

  action_list_init (&list);
  if (cell != NULL)
    {
      intent_rows (cell->intent, status, rows, cell_now (cell), &list);
      run_actions (cell, NULL, &list, NULL);
    }
  cell_pending_call_free (call);
}

static void
on_intent_txn (void *user, enum platform_status status,
               const struct platform_rows *rows)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);
  struct action_list list;

  action_list_init (&list);
  if (cell != NULL)
    {
      intent_txn_done (cell->intent, call->attempt, status, rows,
                       cell_now (cell), &list);
      run_actions (cell, NULL, &list, NULL);
    }
  cell_pending_call_free (call);
}

static void
scan_intents (struct cell *cell, const struct intent_action *action)
{
  struct platform *platform = cell->core->platform;
  struct platform_rows_cb cb
      = { .done = on_intent_rows,
          .user = cell_pending_call_new (cell, 0, NULL) };

  platform->ops->scan (platform, action->prefix, action->limit, cb);
}

static void
write_intents (struct cell *cell, const struct intent_action *action)
{
  struct platform *platform = cell->core->platform;
  struct platform_txn_cb cb
      = { .done = on_intent_txn,
          .user = cell_pending_call_new (cell, action->attempt, NULL) };

  platform->ops->txn (platform, &action->txn, cb);
}

/* Keeps ORDER of a previous leaseholder until placement starts and restores
   it.  */
static void
keep_predecessor_order (struct cell *cell, const struct backend_order *order)
{
  struct backend_order *copy = g_new0 (struct backend_order, 1);
  struct log_line line;

  log_begin (&line, EVENT_INTENT_ROLLED);
  log_str (&line, "cell", cell->name);
  log_str (&line, "order", order->order_id);
  log_str (&line, "engine", order->engine);
  log_end (&line);
  order_copy (copy, order);
  g_ptr_array_add (cell->predecessor_orders, copy);
}

static void
run_intent_actions (struct cell *cell, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      const struct intent_action *action = (struct intent_action *)next;

      switch ((enum intent_action_type)next->type)
        {
        case INTENT_SCAN:
          scan_intents (cell, action);
          break;
        case INTENT_TXN:
          write_intents (cell, action);
          break;
        case INTENT_SEND:
          cell_order_released (cell, &action->order);
          if (action->rolled_forward)
            keep_predecessor_order (cell, &action->order);
          else
            cell_send (cell, &action->order);
          break;
        case INTENT_READY:
          cell_start_placement (cell);
          break;
        }
      action_free (next);
    }
}

/* Lease.  */

static const struct platform_row *
find_row (const struct platform_rows *rows, const char *key)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, key) == 0)
      return &rows->rows[i];
  return NULL;
}

static char *
lease_key (const struct cell *cell)
{
  return g_strconcat ("cell/", cell->name, NULL);
}

static void
on_lease_row (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);
  struct action_list list;

  action_list_init (&list);
  if (cell != NULL)
    {
      char *key = lease_key (cell);

      lease_row (cell->lease, status, find_row (rows, key), cell_now (cell),
                 &list);
      g_free (key);
      run_actions (cell, &list, NULL, NULL);
    }
  cell_pending_call_free (call);
}

static void
on_lease_txn (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);
  struct action_list list;

  action_list_init (&list);
  if (cell != NULL)
    {
      char *key = lease_key (cell);

      lease_txn_done (cell->lease, call->attempt, status, find_row (rows, key),
                      cell_now (cell), &list);
      g_free (key);
      run_actions (cell, &list, NULL, NULL);
    }
  cell_pending_call_free (call);
}

static void
lease_won (struct cell *cell, const struct lease_action *action)
{
  struct action_list list;

  log_cell (cell, EVENT_LEASE_WON, action->fence);
  action_list_init (&list);
  intent_acquired (cell->intent, action->fence, action->version,
                   cell_now (cell), &list);
  run_intent_actions (cell, &list);
}

static void
lease_lost (struct cell *cell)
{
  intent_lost (cell->intent);
  cell_stop_placement (cell);
}

static void
run_lease_action (struct cell *cell, const struct lease_action *action)
{
  struct platform *platform = cell->core->platform;
  struct platform_rows_cb read = { .done = on_lease_row };
  struct platform_txn_cb txn = { .done = on_lease_txn };

  switch ((enum lease_action_type)action->action.type)
    {
    case LEASE_READ:
      read.user = cell_pending_call_new (cell, 0, NULL);
      platform->ops->scan (platform, action->key, 1, read);
      break;
    case LEASE_TXN:
      txn.user = cell_pending_call_new (cell, action->attempt, NULL);
      platform->ops->txn (platform, &action->txn, txn);
      break;
    case LEASE_WON:
      lease_won (cell, action);
      break;
    case LEASE_RENEWED:
      intent_renewed (cell->intent, action->version);
      break;
    case LEASE_LOST:
      log_cell (cell, EVENT_LEASE_LOST, action->fence);
      lease_lost (cell);
      break;
    case LEASE_RELEASED:
      lease_lost (cell);
      cell->options.released (cell->options.user, cell);
      break;
    }
}

void
cell_run_lease_actions (struct cell *cell, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      run_lease_action (cell, (struct lease_action *)next);
      action_free (next);
    }
}

/* Events.  */

static void
timer_fire (struct loop_timer *timer)
{
  struct cell *cell
      = (struct cell *)((char *)timer - offsetof (struct cell, timer));
  struct timespec now = cell_now (cell);
  struct action_list leases;
  struct action_list intents;
  struct action_list places;

  action_list_init (&leases);
  action_list_init (&intents);
  action_list_init (&places);
  lease_tick (cell->lease, now, &leases);
  cell_run_lease_actions (cell, &leases);
  intent_tick (cell->intent, now, &intents);
  run_intent_actions (cell, &intents);
  if (cell->place != NULL)
    place_tick (cell->place, now, &places);
  run_actions (cell, NULL, NULL, &places);
}

struct cell *
cell_new (const struct cell_options *options)
{
  struct cell *cell = g_new0 (struct cell, 1);
  struct lease_options lease = { .cell = options->name,
                                 .node = options->core->node,
                                 .incarnation = options->core->incarnation,
                                 .checks_fence = options->checks_fence,
                                 .margin = ts_from_ms (SEND_MARGIN_MS),
                                 .rand = options->core->rand };
  struct intent_options intent = { .cell = options->name,
                                   .node = options->core->node,
                                   .incarnation = options->core->incarnation,
                                   .checks_fence = options->checks_fence,
                                   .rand = options->core->rand };

  cell->options = *options;
  cell->core = options->core;
  cell->name = g_strdup (options->name);
  cell->pool = g_strdup (options->pool);
  cell->refs = 1;
  cell->lease = lease_new (&lease);
  cell->intent = intent_new (&intent);
  cell->predecessor_orders
      = g_ptr_array_new_with_free_func (predecessor_order_free);
  cell->fence_confirmed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell->fence_pending
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell->sent_orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             cell_sent_order_free);
  cell->timer.fire = timer_fire;
  cell_set_timer (cell);
  return cell;
}

void
cell_free (struct cell *cell)
{
  if (cell == NULL)
    return;
  cell->freed = true;
  loop_timer_clear (cell->core->loop, &cell->timer);
  place_free (cell->place);
  cell->place = NULL;
  cell_unref (cell);
}

const char *
cell_name (const struct cell *cell)
{
  return cell->name;
}

const char *
cell_pool (const struct cell *cell)
{
  return cell->pool;
}

uint64_t
cell_fence (const struct cell *cell)
{
  return lease_fence (cell->lease);
}

/* The announced holder takes precedence: this node reads the lease row only
   rarely.  */
const char *
cell_holder (const struct cell *cell)
{
  if (cell->announced_holder != NULL)
    return cell->announced_holder;
  return lease_holder (cell->lease);
}

void
cell_holder_announced (struct cell *cell, const char *node, uint64_t fence)
{
  if (fence < cell->announced_fence)
    return;
  if (g_strcmp0 (cell->announced_holder, node) != 0)
    {
      g_free (cell->announced_holder);
      cell->announced_holder = g_strdup (node);
    }
  cell->announced_fence = fence;
}

bool
cell_runs_placement (const struct cell *cell)
{
  return cell->place != NULL;
}

void
cell_set_rank (struct cell *cell, unsigned rank)
{
  lease_set_rank (cell->lease, rank, cell_now (cell));
  cell_set_timer (cell);
}

void
cell_lease_hint (struct cell *cell)
{
  struct action_list list;

  action_list_init (&list);
  lease_hint (cell->lease, cell_now (cell), &list);
  run_actions (cell, &list, NULL, NULL);
}

void
cell_holder_dead (struct cell *cell, const char *node)
{
  if (g_strcmp0 (cell->announced_holder, node) == 0)
    g_clear_pointer (&cell->announced_holder, g_free);
  lease_holder_dead (cell->lease, node, cell_now (cell));
  cell_set_timer (cell);
}

void
cell_release_lease (struct cell *cell)
{
  struct action_list list;

  action_list_init (&list);
  lease_release (cell->lease, cell_now (cell), &list);
  run_actions (cell, &list, NULL, NULL);
}
