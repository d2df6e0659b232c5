#include "cell_state.h"

#include <string.h>
#include "ts.h"

static void
on_fence_order_done (void *user, enum backend_status status, const char *why)
{
  struct pending_call *call = user;
  struct cell *cell = cell_of_pending_call (call);

  (void)status;
  (void)why;
  if (cell != NULL)
    {
      g_hash_table_remove (cell->fence_pending, call->order_id);
      fleet_request_report (cell->options.fleet, call->order_id);
    }
  cell_pending_call_free (call);
}

/* The order sets the role that the engine already has; its only effect is that
   the engine sees the fencing token.  */
static void
send_fence_order (struct cell *cell, const struct backend_report *report)
{
  struct backend *backend = cell->core->backend;
  const struct fleet_engine *engine
      = fleet_engine (cell->options.fleet, report->engine);
  struct backend_order order
      = { .type = BACKEND_ROLE,
          .engine = report->engine,
          .fence = lease_fence (cell->lease),
          .role = report->role != NULL ? report->role : "mixed" };
  char *id;

  if (engine == NULL
      || g_hash_table_contains (cell->fence_pending, report->engine)
      || !lease_may_send (cell->lease, clk_now (cell->core->clk)))
    return;
  id = g_strdup_printf ("%s.%llu.token.%llu", cell->name,
                        (unsigned long long)order.fence,
                        (unsigned long long)report->epoch);
  order.order_id = id;
  order.address = engine->address;
  g_hash_table_add (cell->fence_pending, g_strdup (report->engine));
  backend->ops->order (backend, &order, on_fence_order_done,
                       cell_pending_call_new (cell, 0, report->engine));
  g_free (id);
}

bool
cell_check_fence (struct cell *cell, const struct backend_report *report,
                  struct timespec requested_at)
{
  bool ours = !cell->options.checks_fence
              || report->fence >= lease_fence (cell->lease);

  if (ours && !ts_before (requested_at, cell->placement_started_at))
    {
      g_hash_table_add (cell->fence_confirmed, g_strdup (report->engine));
      return true;
    }
  if (!ours)
    {
      g_hash_table_remove (cell->fence_confirmed, report->engine);
      send_fence_order (cell, report);
    }
  return false;
}

bool
cell_fence_confirmed (const struct cell *cell, const char *engine)
{
  return g_hash_table_contains (cell->fence_confirmed, engine);
}

/* ORDER was journaled for an earlier process of the engine.  */
static bool
ended_by_restart (const struct backend_order *order,
                  const struct backend_report *report)
{
  return order->epoch != 0 && order->epoch != report->epoch;
}

void
cell_settle_predecessor_orders (struct cell *cell,
                                const struct backend_report *report,
                                struct action_list *list)
{
  guint i = 0;

  while (i < cell->predecessor_orders->len)
    {
      const struct backend_order *order
          = g_ptr_array_index (cell->predecessor_orders, i);

      if (strcmp (order->engine, report->engine) != 0)
        {
          i++;
          continue;
        }
      if (ended_by_restart (order, report))
        place_order_settled (cell->place, order->order_id, false,
                             "engine restarted", cell_now (cell), list);
      g_ptr_array_remove_index_fast (cell->predecessor_orders, i);
    }
}
