#include <string.h>
#include "counter.h"
#include "log.h"
#include "planners_state.h"

struct rpc *
planners_rpc_new (struct planners *planners, const char *service,
                  const char *engine)
{
  struct rpc *rpc = g_new0 (struct rpc, 1);

  rpc->planners = planners;
  rpc->term = planners->term;
  rpc->service = g_strdup (service);
  rpc->engine = g_strdup (engine);
  return rpc;
}

void
planners_rpc_free (struct rpc *rpc)
{
  g_free (rpc->service);
  g_free (rpc->engine);
  g_free (rpc);
}

struct planner *
planners_rpc_planner (const struct rpc *rpc)
{
  const struct planners *planners = rpc->planners;

  if (!planners->deciding || planners->term != rpc->term)
    return NULL;
  return g_hash_table_lookup (planners->by_service, rpc->service);
}

/* Orders.  */

static void
log_order (const struct planner_action *action, enum log_event event)
{
  struct log_line line;

  log_begin (&line, event);
  log_str (&line, "engine", action->engine);
  log_str (&line, "model", action->model);
  log_str (&line, "adapter", action->adapter);
  log_int (&line, "expected", (int64_t)action->expected);
  log_str (&line, "reason", action->reason);
  log_end (&line);
}

static bool
is_load (enum backend_order_type type)
{
  return type == BACKEND_LOAD || type == BACKEND_ADAPTER_LOAD;
}

/* An engine refused an order because it knows a higher fencing token: this
   node has lost the lease.  */
static void
on_fenced (struct planners *planners)
{
  struct action_list list;

  action_list_init (&list);
  lease_fenced (planners->lease, lease_fence (planners->lease) + 1,
                planners_now (planners), &list);
  planners_run_lease (planners, &list);
  planners_set_timer (planners);
}

static void
log_refused (const struct rpc *rpc, enum backend_status status,
             const char *why)
{
  struct log_line line;

  log_begin (&line, EVENT_ORDER_REFUSED);
  log_str (&line, "engine", rpc->engine);
  log_int (&line, "unknown", status == BACKEND_UNKNOWN);
  log_int (&line, "fence", (int64_t)lease_fence (rpc->planners->lease));
  log_str (&line, "why", why);
  log_end (&line);
}

static void
on_order_response (void *user, enum backend_status status, const char *why)
{
  struct rpc *rpc = user;
  struct planners *planners = rpc->planners;
  struct planner *planner = planners_rpc_planner (rpc);
  struct action_list list;

  if (status != BACKEND_ACCEPTED && status != BACKEND_UNCHANGED)
    log_refused (rpc, status, why);
  if (rpc->fence != 0 && status != BACKEND_UNKNOWN)
    {
      lease_order_answered (planners->lease, rpc->fence,
                            planners_now (planners));
      planners_set_timer (planners);
    }
  action_list_init (&list);
  if (planner != NULL)
    {
      planner_order_answered (planner, rpc->engine, status,
                              planners_now (planners), &list);
      planners_run_planner (planners, rpc->service, &list);
      planners_tick_soon (planners);
    }
  if (planner != NULL && status == BACKEND_FENCED)
    on_fenced (planners);
  planners_rpc_free (rpc);
}

static bool
is_paused (const struct planners *planners, const char *engine)
{
  return servers_is_paused (listing_servers (planners->listing), engine,
                            planners_now (planners));
}

static void
send_order (struct planners *planners, const char *service,
            const struct planner_action *action)
{
  struct backend *backend = planners->core->backend;
  struct rpc *rpc = planners_rpc_new (planners, service, action->engine);
  struct backend_order order = { .type = action->type,
                                 .engine = action->engine,
                                 .address = action->address,
                                 .order_id = "",
                                 .model = action->model,
                                 .adapter = action->adapter,
                                 .holder = planners->core->node,
                                 .expected = action->expected };

  log_order (action,
             is_load (action->type) ? EVENT_PLACE_LOAD : EVENT_PLACE_UNLOAD);
  if (!lease_may_send (planners->lease, clk_now (planners->core->clk)))
    {
      on_order_response (rpc, BACKEND_REFUSED, "lease may have expired");
      return;
    }
  if (is_paused (planners, action->engine))
    {
      on_order_response (rpc, BACKEND_REFUSED, "the engine asked for a pause");
      return;
    }
  order.fence = lease_fence (planners->lease);
  rpc->fence = order.fence;
  lease_order_sent (planners->lease, planners_now (planners));
  counter_add (
      is_load (action->type) ? COUNTER_LOAD_ORDERS : COUNTER_UNLOAD_ORDERS, 1);
  counter_add (COUNTER_STORE_LOAD_ORDERS, action->fetches);
  backend->ops->order (backend, &order, on_order_response, rpc);
}

/* Adapters are reported as "MODEL/ADAPTER".  */
static void
add_adapters (struct inventory *inventory, const struct backend_report *report)
{
  for (size_t i = 0; i < report->adapter_count; i++)
    {
      const char *name = report->adapters[i].model;
      const char *slash = strchr (name, '/');
      char *model;

      if (slash == NULL)
        continue;
      model = g_strndup (name, (gsize)(slash - name));
      inventory_add_adapter (inventory_add (inventory, model), slash + 1);
      g_free (model);
    }
}

static struct inventory *
inventory_from_report (const struct backend_report *report)
{
  struct inventory *inventory = inventory_new ();

  inventory->born = (int64_t)report->epoch;
  inventory->sequence = report->seq;
  inventory->busy = report->busy;
  inventory->loading_adapters = report->loading_adapters;
  for (size_t i = 0; i < report->model_count; i++)
    inventory_add (inventory, report->models[i].model);
  add_adapters (inventory, report);
  for (size_t i = 0; i < report->in_memory_count; i++)
    g_ptr_array_add (inventory->in_memory, g_strdup (report->in_memory[i]));
  for (size_t i = 0; i < report->on_disk_count; i++)
    g_ptr_array_add (inventory->on_disk, g_strdup (report->on_disk[i]));
  return inventory;
}

static void
on_report (void *user, enum backend_status status,
           const struct backend_report *report)
{
  struct rpc *rpc = user;
  struct planners *planners = rpc->planners;
  struct planner *planner = planners_rpc_planner (rpc);
  struct inventory *inventory = NULL;
  struct action_list list;

  action_list_init (&list);
  if (status == BACKEND_ACCEPTED)
    inventory = inventory_from_report (report);
  if (planner != NULL)
    {
      if (status == BACKEND_DOWN)
        planner_engine_down (planner, rpc->engine);
      planner_report (planner, rpc->engine, inventory, planners_now (planners),
                      &list);
      planners_run_planner (planners, rpc->service, &list);
      planners_tick_soon (planners);
    }
  inventory_free (inventory);
  planners_rpc_free (rpc);
}

static void
get_report (struct planners *planners, const char *service,
            const struct planner_action *action)
{
  struct backend *backend = planners->core->backend;
  struct rpc *rpc = planners_rpc_new (planners, service, action->engine);

  if (is_paused (planners, action->engine))
    on_report (rpc, BACKEND_REFUSED, NULL);
  else
    backend->ops->report (backend, action->engine, action->address, on_report,
                          rpc);
}

void
planners_run_planner (struct planners *planners, const char *service,
                      struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      const struct planner_action *action = (struct planner_action *)next;

      switch ((enum planner_action_type)next->type)
        {
        case PLANNER_ORDER:
          send_order (planners, service, action);
          break;
        case PLANNER_GET_REPORT:
          get_report (planners, service, action);
          break;
        case PLANNER_ORDER_DONE:
          log_order (action,
                     action->ok ? EVENT_PLACE_LOADED : EVENT_PLACE_FAILED);
          break;
        }
      action_free (next);
    }
}
