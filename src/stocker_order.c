#include <string.h>
#include "counter.h"
#include "log.h"
#include "stocker_state.h"

struct errand *
stocker_errand (struct stocker *stocker, const char *service,
                const char *engine)
{
  struct errand *errand = g_new0 (struct errand, 1);

  errand->stocker = stocker;
  errand->tenure = stocker->tenure;
  errand->service = g_strdup (service);
  errand->engine = g_strdup (engine);
  return errand;
}

void
stocker_errand_free (struct errand *errand)
{
  g_free (errand->service);
  g_free (errand->engine);
  g_free (errand);
}

struct stock *
stocker_errand_stock (const struct errand *errand)
{
  const struct stocker *stocker = errand->stocker;

  if (!stocker->deciding || stocker->tenure != errand->tenure)
    return NULL;
  return g_hash_table_lookup (stocker->stocks, errand->service);
}

/* Orders.  */

static void
log_order (const struct stock_action *action, enum log_event event)
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
loads (enum backend_order_type type)
{
  return type == BACKEND_LOAD || type == BACKEND_ADAPTER_LOAD;
}

static void
fenced (struct stocker *stocker)
{
  struct action_list list;

  action_list_init (&list);
  lease_fenced (stocker->lease, lease_fence (stocker->lease) + 1,
                stocker_now (stocker), &list);
  stocker_run_lease (stocker, &list);
  stocker_set_timer (stocker);
}

static void
log_refused (const struct errand *errand, enum backend_status status,
             const char *why)
{
  struct log_line line;

  log_begin (&line, EVENT_ORDER_REFUSED);
  log_str (&line, "engine", errand->engine);
  log_int (&line, "unknown", status == BACKEND_UNKNOWN);
  log_int (&line, "fence", (int64_t)lease_fence (errand->stocker->lease));
  log_str (&line, "why", why);
  log_end (&line);
}

static void
on_order (void *user, enum backend_status status, const char *why)
{
  struct errand *errand = user;
  struct stocker *stocker = errand->stocker;
  struct stock *stock = stocker_errand_stock (errand);
  struct action_list list;

  if (status != BACKEND_ACCEPTED && status != BACKEND_HOLDS)
    log_refused (errand, status, why);
  action_list_init (&list);
  if (stock != NULL)
    {
      stock_answered (stock, errand->engine, status, stocker_now (stocker),
                      &list);
      stocker_run_stock (stocker, errand->service, &list);
      stocker_tick_soon (stocker);
    }
  if (stock != NULL && status == BACKEND_FENCED)
    fenced (stocker);
  stocker_errand_free (errand);
}

static void
send_order (struct stocker *stocker, const char *service,
            const struct stock_action *action)
{
  struct backend *backend = stocker->core->backend;
  struct errand *errand = stocker_errand (stocker, service, action->engine);
  struct backend_order order = { .type = action->type,
                                 .engine = action->engine,
                                 .address = action->address,
                                 .order_id = "",
                                 .model = action->model,
                                 .adapter = action->adapter,
                                 .holder = stocker->core->node,
                                 .expected = action->expected };

  log_order (action,
             loads (action->type) ? EVENT_PLACE_LOAD : EVENT_PLACE_UNLOAD);
  if (!lease_may_send (stocker->lease, clk_now (stocker->core->clk)))
    {
      on_order (errand, BACKEND_REFUSED, "lease not sure");
      return;
    }
  order.fence = lease_fence (stocker->lease);
  counter_add (
      loads (action->type) ? COUNTER_LOAD_ORDERS : COUNTER_UNLOAD_ORDERS, 1);
  backend->ops->order (backend, &order, on_order, errand);
}

static void
add_adapters (struct holding *holding, const struct backend_report *report)
{
  for (size_t i = 0; i < report->adapter_count; i++)
    {
      const char *name = report->adapters[i].model;
      const char *slash = strchr (name, '/');
      char *model;

      if (slash == NULL)
        continue;
      model = g_strndup (name, (gsize)(slash - name));
      holding_add_adapter (holding_add (holding, model), slash + 1);
      g_free (model);
    }
}

static struct holding *
holding_of (const struct backend_report *report)
{
  struct holding *holding = holding_new ();

  holding->born = (int64_t)report->epoch;
  holding->sequence = report->seq;
  holding->busy = report->busy;
  holding->coming = report->coming;
  for (size_t i = 0; i < report->model_count; i++)
    holding_add (holding, report->models[i].model);
  add_adapters (holding, report);
  for (size_t i = 0; i < report->in_memory_count; i++)
    g_ptr_array_add (holding->in_memory, g_strdup (report->in_memory[i]));
  for (size_t i = 0; i < report->on_disk_count; i++)
    g_ptr_array_add (holding->on_disk, g_strdup (report->on_disk[i]));
  return holding;
}

static void
on_report (void *user, enum backend_status status,
           const struct backend_report *report)
{
  struct errand *errand = user;
  struct stocker *stocker = errand->stocker;
  struct stock *stock = stocker_errand_stock (errand);
  struct holding *holding = NULL;
  struct action_list list;

  action_list_init (&list);
  if (status == BACKEND_ACCEPTED)
    holding = holding_of (report);
  if (stock != NULL)
    {
      if (status == BACKEND_DOWN)
        stock_engine_down (stock, errand->engine);
      stock_report (stock, errand->engine, holding, stocker_now (stocker),
                    &list);
      stocker_run_stock (stocker, errand->service, &list);
      stocker_tick_soon (stocker);
    }
  holding_free (holding);
  stocker_errand_free (errand);
}

static void
ask_report (struct stocker *stocker, const char *service,
            const struct stock_action *action)
{
  struct backend *backend = stocker->core->backend;

  backend->ops->report (backend, action->engine, action->address, on_report,
                        stocker_errand (stocker, service, action->engine));
}

void
stocker_run_stock (struct stocker *stocker, const char *service,
                   struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      const struct stock_action *action = (struct stock_action *)next;

      switch ((enum stock_action_type)next->type)
        {
        case STOCK_ORDER:
          send_order (stocker, service, action);
          break;
        case STOCK_ASK:
          ask_report (stocker, service, action);
          break;
        case STOCK_SETTLED:
          log_order (action,
                     action->ok ? EVENT_PLACE_LOADED : EVENT_PLACE_FAILED);
          break;
        }
      action_free (next);
    }
}
