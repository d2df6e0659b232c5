#include "cells.h"

#include <string.h>
#include <glib.h>
#include "cell.h"
#include "cellrank.h"
#include "config.h"
#include "core.h"
#include "doc.h"
#include "fleet.h"
#include "links.h"
#include "msg.h"
#include "ts.h"
#include "demand.h"

#define DEMAND_BATCH_MS 20 /* delay that batches a burst of requests */
/* All demand is sent again at this interval, for a new leaseholder.  */
#define DEMAND_REPEAT_MS 500

struct cells
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct links *links;
  struct doc *doc;             /* reference; NULL: not loaded yet */
  GHashTable *cells;           /* name to struct cell */
  struct demand_table *demand; /* of this node */
  struct loop_timer timer;
  struct timespec repeat_at; /* next time to send all demand */
};

static struct cells *
cells_of_timer (struct loop_timer *timer)
{
  return (struct cells *)((char *)timer - offsetof (struct cells, timer));
}

/* Pool of model TARGET, or of the base model of adapter TARGET; NULL when the
   document lacks it.  */
static const char *
pool_of_target (const struct cells *cells, const char *target)
{
  const struct doc_adapter *adapter;
  const struct doc_model *model;

  if (cells->doc == NULL || target == NULL)
    return NULL;
  adapter = doc_adapter (cells->doc, target);
  model = doc_model (cells->doc, adapter != NULL ? adapter->model : target);
  return model != NULL ? model->pool : NULL;
}

static struct cell *
cell_of_target (const struct cells *cells, const char *target)
{
  const char *pool = pool_of_target (cells, target);

  return pool != NULL ? g_hash_table_lookup (cells->cells, pool) : NULL;
}

/* Demand: counts of waiting requests, sent to the cell's leaseholder.  */

struct flush
{
  struct cells *cells;
  struct cell *cell;
  GArray *wants; /* struct peer_want, strings borrowed */
  bool all;      /* also demand that has not changed */
};

static void
apply_locally (struct cells *cells, struct cell *cell,
               const struct demand *demand)
{
  if (demand->calls > 0)
    cell_request_arrived (cell, demand->target, demand->calls);
  cell_set_waiting (cell, cells->core->node, demand->target, demand->waiting,
                    demand->deadline, demand->priority);
}

static uint64_t
remaining_ms (const struct cells *cells, struct timespec deadline)
{
  int64_t ms = ts_to_ms (ts_sub (deadline, loop_now (cells->core->loop)));

  return ms > 0 ? (uint64_t)ms : 0;
}

static void
flush_target (void *user, struct demand *demand)
{
  struct flush *flush = user;
  struct peer_want want = { .target = demand->target,
                            .count = demand->waiting,
                            .calls = demand->calls,
                            .priority = demand->priority };

  if (!demand->changed && !(flush->all && demand->waiting > 0))
    return;
  if (cell_of_target (flush->cells, demand->target) != flush->cell)
    return;
  demand->changed = false;
  if (cell_runs_placement (flush->cell))
    apply_locally (flush->cells, flush->cell, demand);
  else
    {
      want.deadline_ms = remaining_ms (flush->cells, demand->deadline);
      g_array_append_val (flush->wants, want);
    }
  demand->calls = 0;
}

static void
flush_cell (struct cells *cells, struct cell *cell, bool all)
{
  const char *holder = cell_holder (cell);
  struct flush flush = { .cells = cells, .cell = cell, .all = all };
  struct peer_msg msg
      = { .type = PEER_WANTS, .cell = (char *)cell_name (cell) };

  if (!cell_runs_placement (cell) && holder == NULL)
    return;
  flush.wants = g_array_new (FALSE, TRUE, sizeof (struct peer_want));
  demand_each (cells->demand, flush_target, &flush);
  msg.wants = (struct peer_want *)flush.wants->data;
  msg.want_count = flush.wants->len;
  if (flush.wants->len > 0)
    links_send (cells->links, holder, &msg);
  g_array_unref (flush.wants);
}

static void
flush_all (struct cells *cells, bool all)
{
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    flush_cell (cells, cell, all);
  demand_prune (cells->demand);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct cells *cells = cells_of_timer (timer);
  struct timespec now = loop_now (cells->core->loop);
  bool all = !ts_before (now, cells->repeat_at);

  if (all)
    cells->repeat_at = ts_add_ms (now, DEMAND_REPEAT_MS);
  flush_all (cells, all);
  loop_timer_set (cells->core->loop, timer, cells->repeat_at);
}

/* Schedules a flush in DEMAND_BATCH_MS unless one is due earlier.  */
static void
flush_soon (struct cells *cells)
{
  struct timespec at
      = ts_add_ms (loop_now (cells->core->loop), DEMAND_BATCH_MS);

  if (ts_before (at, cells->timer.at))
    loop_timer_set (cells->core->loop, &cells->timer, at);
}

static void
on_peer_demand (struct cells *cells, const struct links_msg *peer)
{
  const struct peer_msg *msg = peer->msg;
  struct timespec now = loop_now (cells->core->loop);
  struct cell *cell = msg->cell != NULL
                          ? g_hash_table_lookup (cells->cells, msg->cell)
                          : NULL;

  if (cell == NULL)
    return;
  for (size_t i = 0; i < msg->want_count; i++)
    {
      const struct peer_want *want = &msg->wants[i];
      struct timespec deadline = ts_add_ms (now, (int64_t)want->deadline_ms);

      if (want->target == NULL || cell_of_target (cells, want->target) != cell)
        continue;
      if (want->calls > 0)
        cell_request_arrived (cell, want->target, (unsigned)want->calls);
      cell_set_waiting (cell, peer->from, want->target, (unsigned)want->count,
                        deadline, (unsigned)want->priority);
    }
}

/* There is one cell for each engine pool of the document.  */

static void
on_released (void *user, struct cell *cell)
{
  struct cells *cells = user;
  struct peer_msg msg
      = { .type = PEER_HANDOVER, .cell = (char *)cell_name (cell) };

  links_broadcast (cells->links, &msg);
}

static void
add_cell (struct cells *cells, const struct doc_pool *pool)
{
  struct cell_options options = { .core = cells->core,
                                  .fleet = cells->fleet,
                                  .name = pool->name,
                                  .pool = pool->name,
                                  .checks_fence = pool->checks_fence,
                                  .released = on_released,
                                  .user = cells };

  if (g_hash_table_lookup (cells->cells, pool->name) != NULL)
    return;
  g_hash_table_insert (cells->cells, g_strdup (pool->name),
                       cell_new (&options));
}

static void
remove_obsolete_cells (struct cells *cells)
{
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    {
      const struct doc_pool *pool = doc_pool (cells->doc, cell_name (cell));

      if (pool == NULL || pool->kind != DOC_POOL_ENGINES)
        g_hash_table_iter_remove (&iter);
    }
}

static int
compare_strings (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
cell_names (const struct cells *cells)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  g_ptr_array_sort (names, compare_strings);
  return names;
}

static GPtrArray *
candidate_nodes (const struct cells *cells)
{
  GPtrArray *names = g_ptr_array_new ();
  size_t count;
  const struct member_info *const *members
      = links_members (cells->links, &count);

  for (size_t i = 0; i < count; i++)
    if (members[i]->state == MEMBER_LIVE
        || members[i]->state == MEMBER_SUSPECT)
      g_ptr_array_add (names, members[i]->id);
  g_ptr_array_sort (names, compare_strings);
  return names;
}

static void
rank_cells (struct cells *cells)
{
  GPtrArray *names = cell_names (cells);
  GPtrArray *nodes = candidate_nodes (cells);
  unsigned *ranks = g_new0 (unsigned, names->len);

  cellrank ((const char *const *)names->pdata, names->len,
            (const char *const *)nodes->pdata, nodes->len, cells->core->node,
            ranks);
  for (guint i = 0; i < names->len; i++)
    cell_set_rank (
        g_hash_table_lookup (cells->cells, g_ptr_array_index (names, i)),
        ranks[i]);
  g_free (ranks);
  g_ptr_array_unref (names);
  g_ptr_array_unref (nodes);
}

/* Divides the capacity of the weight store equally among the cells.  */
static void
divide_store_capacity (struct cells *cells)
{
  const struct settings *settings = cells->core->settings;
  double rate = (double)settings->loads_per_min / 60.0;
  unsigned cell_count = g_hash_table_size (cells->cells);
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    cell_set_store_share (cell, rate / cell_count,
                          MAX (settings->loads_at_once / cell_count, 1),
                          MAX (settings->adapters_at_once / cell_count, 1));
}

static void
on_doc (struct cells *cells, struct doc *doc)
{
  GHashTableIter iter;
  struct cell *cell;

  doc_unref (cells->doc);
  cells->doc = doc_ref (doc);
  for (size_t i = 0; i < doc->pool_count; i++)
    if (doc->pools[i].kind == DOC_POOL_ENGINES)
      add_cell (cells, &doc->pools[i]);
  remove_obsolete_cells (cells);
  rank_cells (cells);
  divide_store_capacity (cells);
  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    cell_set_doc (cell, doc);
}

static void
on_members (struct cells *cells)
{
  size_t count;
  const struct member_info *const *members
      = links_members (cells->links, &count);
  GHashTableIter iter;
  struct cell *cell;

  rank_cells (cells);
  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    for (size_t i = 0; i < count; i++)
      if (members[i]->state == MEMBER_DEAD)
        {
          cell_holder_dead (cell, members[i]->id);
          cell_node_dead (cell, members[i]->id);
        }
}

static void
on_traffic_message (struct cells *cells, const struct msg *msg)
{
  switch (msg->type)
    {
    case MSG_REQUEST:
      demand_request_arrived (cells->demand, msg->target);
      flush_soon (cells);
      break;
    case MSG_WAITING_INCREASED:
    case MSG_WAITING_DECREASED:
      demand_set (cells->demand, msg->thread, msg->target, msg->count,
                  msg->deadline, msg->priority);
      flush_soon (cells);
      break;
    default:
      break;
    }
}

static void
on_peer_message (struct cells *cells, const struct links_msg *peer)
{
  struct cell *cell;

  if (peer->msg->type == PEER_WANTS)
    on_peer_demand (cells, peer);
  if (peer->msg->type != PEER_HANDOVER || peer->msg->cell == NULL)
    return;
  cell = g_hash_table_lookup (cells->cells, peer->msg->cell);
  if (cell != NULL)
    cell_lease_hint (cell);
}

static void
each_cell (struct cells *cells, void (*fn) (struct cell *cell, gconstpointer),
           gconstpointer data)
{
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    fn (cell, data);
}

static void
on_engine_changed (struct cell *cell, gconstpointer data)
{
  cell_engine_changed (cell, data);
}

static void
on_engine_removed (struct cell *cell, gconstpointer data)
{
  cell_engine_removed (cell, data);
}

static void
on_report (struct cell *cell, gconstpointer data)
{
  cell_engine_reported (cell, data);
}

static void
release_lease (struct cell *cell, gconstpointer data)
{
  (void)data;
  cell_release_lease (cell);
}

static void
cells_event (struct service *service, const struct kernel_event *event)
{
  struct cells *cells = (struct cells *)service;

  switch (event->type)
    {
    case KERNEL_DOC_APPLIED:
      on_doc (cells, (struct doc *)event->data);
      break;
    case KERNEL_MEMBERS_CHANGED:
      on_members (cells);
      break;
    case KERNEL_ENGINE_CHANGED:
      each_cell (cells, on_engine_changed, event->data);
      break;
    case KERNEL_ENGINE_REMOVED:
    case KERNEL_ENGINE_DOWN:
      each_cell (cells, on_engine_removed, event->data);
      break;
    case KERNEL_ENGINE_REPORT:
      each_cell (cells, on_report, event->data);
      break;
    case KERNEL_TRAFFIC_MESSAGE:
      on_traffic_message (cells, event->data);
      break;
    case KERNEL_PEER_MESSAGE:
      on_peer_message (cells, event->data);
      break;
    case KERNEL_DRAIN_STARTED:
      each_cell (cells, release_lease, NULL);
      break;
    default:
      break;
    }
}

void
cells_each (struct cells *cells, void (*fn) (void *user, struct cell *cell),
            void *user)
{
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    fn (user, cell);
}

struct cell *
cells_cell (struct cells *cells, const char *name)
{
  return g_hash_table_lookup (cells->cells, name);
}

bool
cells_loading (struct cells *cells, const char *model,
               struct timespec *ready_at)
{
  struct cell *cell = cell_of_target (cells, model);

  return cell != NULL && cell_loading (cell, model, ready_at);
}

json_t *
cells_describe (struct cells *cells, const char *model)
{
  json_t *all = json_array ();
  GHashTableIter iter;
  struct cell *cell;

  g_hash_table_iter_init (&iter, cells->cells);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&cell))
    if (model == NULL || cell_of_target (cells, model) == cell)
      json_array_append_new (all, cell_describe (cell, model));
  return all;
}

static int
cells_start (struct service *service, struct kernel *kernel)
{
  struct cells *cells = (struct cells *)service;

  cells->core = core_find (kernel);
  cells->fleet = fleet_find (kernel);
  cells->links = links_find (kernel);
  cells->timer.fire = timer_fire;
  loop_timer_set (cells->core->loop, &cells->timer,
                  loop_now (cells->core->loop));
  return 0;
}

static void
cells_stop (struct service *service)
{
  struct cells *cells = (struct cells *)service;

  loop_timer_clear (cells->core->loop, &cells->timer);
  g_hash_table_remove_all (cells->cells);
}

static const struct service_ops cells_ops
    = { cells_start, cells_stop, cells_event };

static void
free_cell (gpointer cell)
{
  cell_free (cell);
}

struct service *
cells_new (void)
{
  struct cells *cells = g_new0 (struct cells, 1);

  cells->service.ops = &cells_ops;
  cells->service.name = CELLS_NAME;
  cells->cells
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_cell);
  cells->demand = demand_new ();
  return &cells->service;
}

void
cells_free (struct service *service)
{
  struct cells *cells = (struct cells *)service;

  if (cells == NULL)
    return;
  g_hash_table_unref (cells->cells);
  demand_free (cells->demand);
  doc_unref (cells->doc);
  g_free (cells);
}

struct cells *
cells_find (struct kernel *kernel)
{
  return (struct cells *)kernel_find (kernel, CELLS_NAME);
}
