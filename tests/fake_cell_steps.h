/* fake_cell_steps - the steps of fake_cell.h and the checks of invariants.  */

#ifndef PARSLEYRILL_TESTS_FAKE_CELL_STEPS_H
#define PARSLEYRILL_TESTS_FAKE_CELL_STEPS_H

#include "fake_cell.h"

/* Removes the orders that the engine has carried out, so that they are not
   sent again: an engine forgets their ids on restart and would carry them out
   twice.  */
static inline void
remove_executed (struct cell *cell, GPtrArray *orders)
{
  for (unsigned k = orders->len; k-- > 0;)
    {
      struct cell_order *order
          = (struct cell_order *)g_ptr_array_index (orders, k);

      if (g_hash_table_contains (cell->engine_ids, order->order.order_id))
        g_ptr_array_remove_index (orders, k);
    }
}

static inline void
cell_resend (struct cell *cell, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];

  for (unsigned k = node->unsettled->len; k-- > 0;)
    {
      struct cell_order *order
          = (struct cell_order *)g_ptr_array_index (node->unsettled, k);

      if (order->rolled_forward && order->order.epoch != cell->engine_epoch)
        {
          intent_settled (node->intent, order->order.order_id,
                          cell_now (cell, node));
          g_ptr_array_remove_index (node->unsettled, k);
          continue;
        }
      order->rolled_forward = false;
      cell_queue (node->outbox, i, &order->order);
    }
}

/* A minimal placement: one order at a time, based on a report that the engine
   made after it saw this holder's fencing token.  */
static inline void
cell_plan (struct cell *cell, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];
  struct backend_order order;
  char id[48];
  GHashTableIter iter;
  void *key;

  if (!node->alive || !intent_ready (node->intent)
      || !lease_may_send (node->lease, cell_now (cell, node)))
    return;
  g_hash_table_iter_init (&iter, cell->engine_ids);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    intent_settled (node->intent, (const char *)key, cell_now (cell, node));
  remove_executed (cell, node->unsettled);
  remove_executed (cell, node->outbox);
  memset (&order, 0, sizeof order);
  snprintf (id, sizeof id, "n%u.%u.%u", i, node->incarnation, node->orders);
  order.engine = order.address = "e";
  order.order_id = id;
  order.fence = lease_fence (node->lease);
  order.epoch = cell->engine_epoch;
  if (cell->checks_fence && cell->engine_fence != order.fence)
    {
      order.type = BACKEND_ROLE;
      if (node->outbox->len == 0)
        cell_queue (node->outbox, i, &order);
      return;
    }
  if (node->outbox->len > 0)
    return;
  cell_resend (cell, i);
  if (intent_unsettled (node->intent) > 0)
    return;
  order.type = cell->engine_models == 0 ? BACKEND_LOAD : BACKEND_UNLOAD;
  node->orders++;
  intent_order (node->intent, &order, cell_now (cell, node));
}

static inline void
cell_table_request (struct cell *cell, unsigned k, enum cell_step_kind step)
{
  struct cell_request *request
      = (struct cell_request *)g_ptr_array_index (cell->requests, k);

  if (request->answered)
    return;
  if (step == CELL_DUPLICATE)
    {
      if (!cell->outage && request->txn != NULL)
        cell_execute (cell, request);
      return;
    }
  request->answered = true;
  if (cell->outage || step == CELL_REFUSE)
    request->status = PLATFORM_REFUSED;
  else if (step != CELL_LOSE_REQUEST)
    cell_execute (cell, request);
  if (step == CELL_LOSE_REQUEST || step == CELL_LOSE_RESPONSE)
    {
      request->status = PLATFORM_UNKNOWN;
      fake_rows_clear (&request->rows);
    }
}

static inline void
cell_run_node (struct cell *cell, unsigned i)
{
  bool more = true;

  cell_tick (cell, i);
  for (unsigned turn = 0; more && turn < 16; turn++)
    {
      more = false;
      for (unsigned k = cell->requests->len; k-- > 0;)
        {
          struct cell_request *request
              = (struct cell_request *)g_ptr_array_index (cell->requests, k);

          if (request->node != i)
            continue;
          cell_table_request (cell, k, CELL_EXECUTE);
          cell_respond (cell, k);
          more = true;
          break;
        }
    }
  cell_send (cell, i);
}

/* Orders to engines that do not check tokens arrive within CELL_SEND_MS.  */
static inline void
cell_advance (struct cell *cell, int64_t ms)
{
  int64_t ns = cell->ns + ms * TS_NS_PER_MS;

  bool bounded = !cell->checks_fence && !cell->unbounded_delay;

  for (unsigned k = 0; bounded && k < cell->orders->len;)
    {
      struct cell_order *order
          = (struct cell_order *)g_ptr_array_index (cell->orders, k);

      if (ns - order->sent_ns > CELL_SEND_MS * TS_NS_PER_MS)
        cell_deliver_order (cell, k);
      else
        k++;
    }
  cell->ns = ns;
}

static inline void
cell_check (struct cell *cell)
{
  unsigned senders = 0;

  for (unsigned i = 0; i < cell->node_count; i++)
    {
      const struct cell_node *node = &cell->nodes[i];

      if (node->alive && lease_may_send (node->lease, cell_now (cell, node)))
        senders++;
    }
  if (senders > 1 && !cell->checks_fence)
    cell_violation (cell, "two holders may send");
}

static inline void
cell_pause_node (struct cell *cell, unsigned paused, unsigned turns)
{
  for (unsigned turn = 0; turn < turns; turn++)
    {
      cell_advance (cell, 250);
      for (unsigned i = 0; i < cell->node_count; i++)
        if (i != paused)
          {
            cell_run_node (cell, i);
            cell_check (cell);
            cell_plan (cell, i);
          }
    }
}

static inline void
cell_lease_step (struct cell *cell, enum cell_step_kind step, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];
  struct action_list list;
  char name[16];

  action_list_init (&list);
  snprintf (name, sizeof name, "n%u", i);
  for (unsigned j = 0; step == CELL_REPORT_DEAD && j < cell->node_count; j++)
    if (cell->nodes[j].alive)
      lease_holder_dead (cell->nodes[j].lease, name,
                         cell_now (cell, &cell->nodes[j]));
  if (step == CELL_RELEASE && node->alive)
    lease_release (node->lease, cell_now (cell, node), &list);
  if (step == CELL_HINT && node->alive)
    lease_hint (node->lease, cell_now (cell, node), &list);
  cell_lease_actions (cell, i, &list);
}

static inline void
cell_process_step (struct cell *cell, enum cell_step_kind step, unsigned i)
{
  if (step == CELL_KILL)
    cell_stop_node (&cell->nodes[i]);
  else if (step == CELL_START && !cell->nodes[i].alive)
    cell_start_node (cell, i);
  else if (step == CELL_OUTAGE)
    cell->outage = !cell->outage;
  else if (step == CELL_ENGINE_RESTART && !cell->unbounded_delay)
    {
      /* Orders in flight to the old process do not reach the new one.  */
      g_ptr_array_set_size (cell->orders, 0);
      cell->engine_models = 0;
      cell->engine_epoch++;
      g_hash_table_remove_all (cell->engine_ids);
    }
}

static inline void
cell_step (struct cell *cell, enum cell_step_kind step, unsigned arg)
{
  unsigned node = arg % cell->node_count;
  unsigned requests = cell->requests->len;
  unsigned orders = cell->orders->len;

  if (step == CELL_ADVANCE)
    cell_advance (cell, arg);
  else if (step == CELL_TICK)
    cell_tick (cell, node);
  else if (step == CELL_RESPOND && requests > 0)
    {
      struct cell_request *request = (struct cell_request *)g_ptr_array_index (
          cell->requests, arg % requests);

      if (request->answered)
        cell_respond (cell, arg % requests);
    }
  else if (step >= CELL_EXECUTE && step <= CELL_DUPLICATE && requests > 0)
    cell_table_request (cell, arg % requests, step);
  else if (step == CELL_RUN_NODE)
    cell_run_node (cell, node);
  else if (step == CELL_PAUSE_NODE)
    cell_pause_node (cell, node, arg / 64);
  else if (step == CELL_PLAN)
    cell_plan (cell, node);
  else if (step == CELL_SEND)
    cell_send (cell, node);
  else if (step == CELL_DELIVER_ORDER && orders > 0)
    cell_deliver_order (cell, arg % orders);
  else if (step == CELL_LOSE_ORDER && orders > 0)
    g_ptr_array_remove_index (cell->orders, arg % orders);
  else if (step == CELL_RELEASE || step == CELL_HINT
           || step == CELL_REPORT_DEAD)
    cell_lease_step (cell, step, node);
  else
    cell_process_step (cell, step, node);
  cell_check (cell);
}

#endif
