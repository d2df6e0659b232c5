/* fake_cell - simulates a cell: the lease and journal of a few nodes, one
   table and one engine.

   Uses the real lease and intent modules.  Each step is a code and an
   argument, so that both a randomized and an exhaustive test can drive it.
   The engine has room for one model.  VIOLATION names the first invariant
   that was violated.  */

#ifndef FAKE_CELL_H
#define FAKE_CELL_H

#include <inttypes.h>
#include <stdio.h>
#include "fake_table.h"
#include "intent.h"
#include "lease.h"
#include "order.h"
#include "ts.h"

#define CELL_NODES 3
#define CELL_SEND_MS 350 /* an order arrives within this time or is lost */

enum cell_step_kind
{
  CELL_ADVANCE,      /* argument: milliseconds */
  CELL_TICK,         /* argument: node */
  CELL_EXECUTE,      /* the table executes request ARG */
  CELL_RESPOND,      /* the response to request ARG arrives */
  CELL_LOSE_REQUEST, /* request ARG is lost; its sender gets an unknown outcome
                      */
  CELL_REFUSE,       /* request ARG is refused */
  CELL_LOSE_RESPONSE,  /* request ARG is executed, its response is lost */
  CELL_DUPLICATE,      /* request ARG is executed and stays in flight */
  CELL_RUN_NODE,       /* node ARG runs; the table responds at once */
  CELL_PAUSE_NODE,     /* node ARG is paused while the others keep running */
  CELL_PLAN,           /* node ARG plans a load or an unload */
  CELL_SEND,           /* node ARG sends released orders */
  CELL_DELIVER_ORDER,  /* order ARG reaches the engine */
  CELL_LOSE_ORDER,     /* order ARG is lost */
  CELL_KILL,           /* node ARG is killed */
  CELL_START,          /* node ARG starts, unless it runs */
  CELL_OUTAGE,         /* an outage of the table begins or ends */
  CELL_RELEASE,        /* node ARG releases its lease */
  CELL_HINT,           /* node ARG is told that the lease was released */
  CELL_ENGINE_RESTART, /* the engine restarts without models */
  CELL_REPORT_DEAD,    /* membership reports node ARG dead, correctly or not */
  CELL_STEPS
};

enum cell_request_kind
{
  REQUEST_LEASE_READ,
  REQUEST_LEASE_TXN,
  REQUEST_INTENT_SCAN,
  REQUEST_INTENT_TXN
};

/* A request to the table or, once ANSWERED, its response.  */
struct cell_request
{
  unsigned node;
  unsigned incarnation; /* of the sender */
  enum cell_request_kind kind;
  uint64_t attempt;
  size_t limit;
  struct platform_txn *txn;
  bool answered;
  enum platform_status status;
  struct platform_rows rows;
};

struct cell_order
{
  struct backend_order order;
  unsigned node;
  bool rolled_forward; /* of a predecessor and not sent again yet */
  int64_t sent_ns;
};

struct cell_node
{
  bool alive;
  unsigned incarnation;
  double clock_rate; /* relative to real time */
  struct lease *lease;
  struct intent *intent;
  GPtrArray *outbox; /* struct cell_order */
  unsigned orders;
  GPtrArray *unsettled; /* struct cell_order: released by the journal */
};

struct cell
{
  int64_t ns;
  bool checks_fence;
  bool unbounded_delay; /* of orders; the engine does not restart */
  bool outage;
  unsigned node_count;
  struct fake_table table;
  GPtrArray *requests; /* struct cell_request */
  GPtrArray *orders;   /* in flight to the engine */
  struct cell_node nodes[CELL_NODES];
  uint64_t engine_fence;
  uint64_t engine_epoch;
  unsigned engine_models; /* models loaded */
  GHashTable *engine_ids; /* orders carried out */
  uint64_t fence_won;
  GHashTable *tokens; /* fencing tokens won */
  unsigned wins;
  unsigned loads;
  char violation[128];
};

static inline struct timespec
cell_now (const struct cell *cell, const struct cell_node *node)
{
  return ts_from_ns ((int64_t)((double)cell->ns * node->clock_rate + 1e12));
}

static inline void
cell_request_free (void *data)
{
  struct cell_request *request = (struct cell_request *)data;

  if (request->txn != NULL)
    fake_txn_free (request->txn);
  fake_rows_clear (&request->rows);
  g_free (request);
}

static inline void
cell_order_free (void *data)
{
  order_clear (&((struct cell_order *)data)->order);
  g_free (data);
}

static inline void
cell_start_node (struct cell *cell, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];
  char name[16];
  struct lease_options lease;
  struct intent_options intent;

  snprintf (name, sizeof name, "n%u", i);
  memset (&lease, 0, sizeof lease);
  memset (&intent, 0, sizeof intent);
  node->alive = true;
  node->incarnation++;
  lease.cell = intent.cell = "c";
  lease.node = intent.node = name;
  lease.incarnation = intent.incarnation = node->incarnation;
  lease.checks_fence = intent.checks_fence = cell->checks_fence;
  node->lease = lease_new (&lease);
  node->intent = intent_new (&intent);
  node->outbox = g_ptr_array_new_with_free_func (cell_order_free);
  node->unsettled = g_ptr_array_new_with_free_func (cell_order_free);
  lease_set_rank (node->lease, i, cell_now (cell, node));
}

static inline void
cell_stop_node (struct cell_node *node)
{
  if (!node->alive)
    return;
  node->alive = false;
  lease_free (node->lease);
  intent_free (node->intent);
  g_ptr_array_unref (node->unsettled);
  g_ptr_array_unref (node->outbox);
}

/* RATES are the clock rates of the nodes.  */
static inline void
cell_init (struct cell *cell, unsigned node_count, bool checks_fence,
           const double *rates)
{
  memset (cell, 0, sizeof *cell);
  cell->checks_fence = checks_fence;
  cell->node_count = node_count;
  fake_table_init (&cell->table);
  cell->requests = g_ptr_array_new_with_free_func (cell_request_free);
  cell->orders = g_ptr_array_new_with_free_func (cell_order_free);
  cell->tokens = g_hash_table_new (NULL, NULL);
  cell->engine_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (unsigned i = 0; i < node_count; i++)
    {
      cell->nodes[i].clock_rate = rates[i];
      cell_start_node (cell, i);
    }
}

static inline void
cell_clear (struct cell *cell)
{
  for (unsigned i = 0; i < cell->node_count; i++)
    cell_stop_node (&cell->nodes[i]);
  g_ptr_array_unref (cell->requests);
  g_ptr_array_unref (cell->orders);
  g_hash_table_unref (cell->engine_ids);
  g_hash_table_unref (cell->tokens);
  fake_table_clear (&cell->table);
}

static inline void
cell_violation (struct cell *cell, const char *what)
{
  if (cell->violation[0] == '\0')
    snprintf (cell->violation, sizeof cell->violation, "%s at %" PRId64 " ms",
              what, cell->ns / TS_NS_PER_MS);
}

static inline struct cell_request *
cell_request_new (struct cell *cell, unsigned node,
                  enum cell_request_kind kind)
{
  struct cell_request *request = g_new0 (struct cell_request, 1);

  request->node = node;
  request->incarnation = cell->nodes[node].incarnation;
  request->kind = kind;
  g_ptr_array_add (cell->requests, request);
  return request;
}

static inline struct cell_order *
cell_queue (GPtrArray *queue, unsigned i, const struct backend_order *order)
{
  struct cell_order *copy = g_new0 (struct cell_order, 1);

  order_copy (&copy->order, order);
  copy->node = i;
  g_ptr_array_add (queue, copy);
  return copy;
}

static inline void
cell_intent_actions (struct cell *cell, unsigned i, struct action_list *list)
{
  struct intent_action *action;

  while ((action = (struct intent_action *)action_pop (list)) != NULL)
    {
      if (action->action.type == INTENT_SCAN)
        cell_request_new (cell, i, REQUEST_INTENT_SCAN)->limit = action->limit;
      else if (action->action.type == INTENT_TXN)
        {
          struct cell_request *request
              = cell_request_new (cell, i, REQUEST_INTENT_TXN);

          request->attempt = action->attempt;
          request->txn = fake_txn_copy (&action->txn);
        }
      else if (action->action.type == INTENT_SEND)
        {
          cell_queue (cell->nodes[i].unsettled, i, &action->order)
              ->rolled_forward
              = action->rolled_forward;
          if (!action->rolled_forward)
            cell_queue (cell->nodes[i].outbox, i, &action->order);
        }
      action_free (&action->action);
    }
}

static inline void
cell_lease_won (struct cell *cell, unsigned i,
                const struct lease_action *action)
{
  struct cell_node *node = &cell->nodes[i];
  struct action_list list;

  /* With engines that check the token, a node may learn late that it won an
     earlier lease.  */
  if (!cell->checks_fence && action->fence <= cell->fence_won)
    cell_violation (cell, "fencing token did not increase");
  if (!g_hash_table_add (cell->tokens, GSIZE_TO_POINTER (action->fence)))
    cell_violation (cell, "fencing token won twice");
  cell->fence_won = action->fence;
  cell->wins++;
  action_list_init (&list);
  intent_acquired (node->intent, action->fence, action->version,
                   cell_now (cell, node), &list);
  cell_intent_actions (cell, i, &list);
}

static inline void
cell_lease_actions (struct cell *cell, unsigned i, struct action_list *list)
{
  struct cell_node *node = &cell->nodes[i];
  struct lease_action *action;

  while ((action = (struct lease_action *)action_pop (list)) != NULL)
    {
      if (action->action.type == LEASE_READ)
        cell_request_new (cell, i, REQUEST_LEASE_READ);
      else if (action->action.type == LEASE_TXN)
        {
          struct cell_request *request
              = cell_request_new (cell, i, REQUEST_LEASE_TXN);

          request->attempt = action->attempt;
          request->txn = fake_txn_copy (&action->txn);
        }
      else if (action->action.type == LEASE_WON)
        cell_lease_won (cell, i, action);
      else if (action->action.type == LEASE_RENEWED)
        intent_renewed (node->intent, action->version);
      else
        {
          intent_lost (node->intent);
          g_ptr_array_set_size (node->unsettled, 0);
          g_ptr_array_set_size (node->outbox, 0);
        }
      action_free (&action->action);
    }
}

static inline void
cell_tick (struct cell *cell, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];
  struct action_list list;

  if (!node->alive)
    return;
  action_list_init (&list);
  lease_tick (node->lease, cell_now (cell, node), &list);
  cell_lease_actions (cell, i, &list);
  intent_tick (node->intent, cell_now (cell, node), &list);
  cell_intent_actions (cell, i, &list);
}

static inline void
cell_execute (struct cell *cell, struct cell_request *request)
{
  if (request->txn != NULL)
    {
      fake_rows_clear (&request->rows);
      request->status
          = fake_table_txn (&cell->table, request->txn, &request->rows);
      return;
    }
  request->status = PLATFORM_OK;
  if (request->kind == REQUEST_LEASE_READ)
    fake_table_scan (&cell->table, "cell/c", 1, &request->rows);
  else
    fake_table_scan (&cell->table, "intent/c/", request->limit,
                     &request->rows);
}

static inline void
cell_respond (struct cell *cell, unsigned k)
{
  struct cell_request *request
      = (struct cell_request *)g_ptr_array_steal_index (cell->requests, k);
  unsigned i = request->node;
  struct cell_node *node = &cell->nodes[i];
  struct timespec now = cell_now (cell, node);
  const struct platform_row *row
      = request->rows.count > 0 ? request->rows.rows : NULL;
  struct action_list list;

  action_list_init (&list);
  if (node->alive && node->incarnation == request->incarnation)
    switch (request->kind)
      {
      case REQUEST_LEASE_READ:
        lease_row (node->lease, request->status, row, now, &list);
        break;
      case REQUEST_LEASE_TXN:
        lease_txn_done (node->lease, request->attempt, request->status, row,
                        now, &list);
        break;
      case REQUEST_INTENT_SCAN:
        intent_rows (node->intent, request->status, &request->rows, now,
                     &list);
        break;
      default:
        intent_txn_done (node->intent, request->attempt, request->status,
                         &request->rows, now, &list);
      }
  if (request->kind == REQUEST_LEASE_READ
      || request->kind == REQUEST_LEASE_TXN)
    cell_lease_actions (cell, i, &list);
  else
    cell_intent_actions (cell, i, &list);
  cell_request_free (request);
}

static inline void
cell_deliver_order (struct cell *cell, unsigned k)
{
  struct cell_order *order
      = (struct cell_order *)g_ptr_array_steal_index (cell->orders, k);
  struct cell_node *node = &cell->nodes[order->node];
  struct action_list list;

  if (cell->checks_fence && order->order.fence < cell->engine_fence)
    {
      action_list_init (&list);
      if (node->alive)
        lease_fenced (node->lease, cell->engine_fence, cell_now (cell, node),
                      &list);
      cell_lease_actions (cell, order->node, &list);
      cell_order_free (order);
      return;
    }
  cell->engine_fence = MAX (cell->engine_fence, order->order.fence);
  if (order->order.type != BACKEND_ROLE
      && g_hash_table_add (cell->engine_ids, g_strdup (order->order.order_id)))
    {
      if (order->order.type == BACKEND_LOAD)
        {
          if (++cell->engine_models > 1)
            cell_violation (cell, "engine memory overcommitted");
          cell->loads++;
        }
      else if (cell->engine_models > 0)
        cell->engine_models--;
    }
  cell_order_free (order);
}

static inline void
cell_send (struct cell *cell, unsigned i)
{
  struct cell_node *node = &cell->nodes[i];

  if (!node->alive)
    return;
  while (node->outbox->len > 0
         && lease_may_send (node->lease, cell_now (cell, node)))
    {
      struct cell_order *order
          = (struct cell_order *)g_ptr_array_steal_index (node->outbox, 0);

      order->sent_ns = cell->ns;
      g_ptr_array_add (cell->orders, order);
    }
}

#endif
