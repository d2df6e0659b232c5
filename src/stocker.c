#include "stocker.h"

#include <limits.h>
#include <string.h>
#include <glib.h>
#include "core.h"
#include "counter.h"
#include "lease.h"
#include "links.h"
#include "listing.h"
#include "log.h"
#include "spread.h"
#include "stock.h"
#include "ts.h"
#include "wants.h"

#define CELL "engines" /* all of them have one decider */
#define FLUSH_MS 5     /* gathers what a burst wants */
#define REPEAT_MS 500  /* wants and holdings are told again */
/* The least time between the orders of two deciders.  */
#define LEASE_MS 3000
/* An order may take so long to its engine.  */
#define MARGIN_MS 700
#define THREAD 0 /* the only one that wants anything */

struct stocker
{
  struct service service; /* first */
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct lease *lease;
  struct site *site;  /* held; what the stocks borrow from */
  GHashTable *stocks; /* service to struct stock; empty: not deciding */
  bool deciding;
  uint64_t tenure; /* number of the present or last one */
  struct spread_out *out;
  struct spread_in *in;
  struct wants *wants;
  struct loop_timer timer; /* of the lease and the stocks */
  struct loop_timer flush;
  struct timespec tick_at;
  struct timespec repeat_at;
  struct timespec told_at;
};

static struct timespec
now_of (const struct stocker *stocker)
{
  return loop_now (stocker->core->loop);
}

static void run_lease (struct stocker *stocker, struct action_list *list);
static void run_stock (struct stocker *stocker, const char *service,
                       struct action_list *list);

static void
set_timer (struct stocker *stocker)
{
  struct timespec at = lease_next (stocker->lease);

  if (stocker->deciding)
    at = ts_min (at, stocker->tick_at);
  loop_timer_set (stocker->core->loop, &stocker->timer, at);
}

/* A call under way; what comes back after the tenure is dropped.  */
struct errand
{
  struct stocker *stocker;
  uint64_t tenure;
  uint64_t attempt;
  char *service;
  char *engine;
};

static struct errand *
errand_new (struct stocker *stocker, const char *service, const char *engine)
{
  struct errand *errand = g_new0 (struct errand, 1);

  errand->stocker = stocker;
  errand->tenure = stocker->tenure;
  errand->service = g_strdup (service);
  errand->engine = g_strdup (engine);
  return errand;
}

static void
errand_free (struct errand *errand)
{
  g_free (errand->service);
  g_free (errand->engine);
  g_free (errand);
}

static struct stock *
errand_stock (const struct errand *errand)
{
  const struct stocker *stocker = errand->stocker;

  if (!stocker->deciding || stocker->tenure != errand->tenure)
    return NULL;
  return g_hash_table_lookup (stocker->stocks, errand->service);
}

/* What the engines hold, to this node's servers and to all others.  */

static void
collect (void *user, const struct peer_replica *replica)
{
  g_array_append_vals (user, replica, 1);
}

static void
tell_own_servers (struct stocker *stocker, const GArray *replicas)
{
  struct servers *servers = listing_servers (stocker->listing);

  servers_told_begin (servers, now_of (stocker));
  for (guint i = 0; i < replicas->len; i++)
    servers_told (servers, &g_array_index (replicas, struct peer_replica, i));
}

static void
tell_holdings (struct stocker *stocker)
{
  GArray *replicas = g_array_new (FALSE, FALSE, sizeof (struct peer_replica));
  struct timespec now = now_of (stocker);
  struct peer_msg msg;
  struct stock *stock;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, stocker->stocks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&stock))
    stock_each (stock, now, collect, replicas);
  tell_own_servers (stocker, replicas);
  spread_out_make (stocker->out, (struct peer_replica *)replicas->data,
                   replicas->len, now, &msg);
  if (msg.replica_count > 0)
    kernel_post (stocker->core->kernel, KERNEL_SERVERS, NULL);
  if (msg.replica_count > 0
      || !ts_before (now, ts_add_ms (stocker->told_at, REPEAT_MS)))
    {
      links_broadcast (stocker->links, &msg);
      stocker->told_at = now;
    }
  peer_msg_clear (&msg);
  g_array_unref (replicas);
}

static void
told (void *user, const struct peer_replica *replica)
{
  servers_told (user, replica);
}

static void
take_replicas (struct stocker *stocker, const char *from,
               const struct peer_msg *msg)
{
  struct servers *servers = listing_servers (stocker->listing);
  struct peer_msg ask = { .type = PEER_REPLICAS_ASK, .cell = (char *)CELL };

  switch (spread_in_take (stocker->in, from, msg, now_of (stocker)))
    {
    case SPREAD_GAP:
      links_send (stocker->links, from, &ask);
      break;
    case SPREAD_TAKEN:
      servers_told_begin (servers, spread_in_at (stocker->in));
      spread_in_each (stocker->in, told, servers);
      if (msg->replica_count > 0)
        kernel_post (stocker->core->kernel, KERNEL_SERVERS, NULL);
      break;
    case SPREAD_STALE:
      break;
    }
}

static void
send_full (struct stocker *stocker, const char *to)
{
  struct peer_msg msg;

  if (!stocker->deciding)
    return;
  spread_out_full (stocker->out, &msg);
  links_send (stocker->links, to, &msg);
  peer_msg_clear (&msg);
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
                now_of (stocker), &list);
  run_lease (stocker, &list);
  set_timer (stocker);
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
  struct stock *stock = errand_stock (errand);
  struct action_list list;

  if (status != BACKEND_ACCEPTED && status != BACKEND_HOLDS)
    log_refused (errand, status, why);
  action_list_init (&list);
  if (stock != NULL)
    {
      stock_answered (stock, errand->engine, status, now_of (stocker), &list);
      run_stock (stocker, errand->service, &list);
      stocker->tick_at = now_of (stocker);
      set_timer (stocker);
    }
  if (stock != NULL && status == BACKEND_FENCED)
    fenced (stocker);
  errand_free (errand);
}

static void
send_order (struct stocker *stocker, const char *service,
            const struct stock_action *action)
{
  struct backend *backend = stocker->core->backend;
  struct errand *errand = errand_new (stocker, service, action->engine);
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
  struct stock *stock = errand_stock (errand);
  struct holding *holding = NULL;
  struct action_list list;

  action_list_init (&list);
  if (status == BACKEND_ACCEPTED)
    holding = holding_of (report);
  if (stock != NULL)
    {
      stock_report (stock, errand->engine, holding, now_of (stocker), &list);
      run_stock (stocker, errand->service, &list);
      stocker->tick_at = now_of (stocker);
      set_timer (stocker);
    }
  holding_free (holding);
  errand_free (errand);
}

static void
ask_report (struct stocker *stocker, const char *service,
            const struct stock_action *action)
{
  struct backend *backend = stocker->core->backend;

  backend->ops->report (backend, action->engine, action->address, on_report,
                        errand_new (stocker, service, action->engine));
}

static void
run_stock (struct stocker *stocker, const char *service,
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

/* The stocks.  */

static void
each_stock (struct stocker *stocker,
            void (*fn) (struct stocker *stocker, struct stock *stock,
                        struct action_list *out, const void *data),
            const void *data)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  struct action_list list;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, stocker->stocks);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  for (guint i = 0; i < names->len; i++)
    {
      struct stock *stock = g_hash_table_lookup (stocker->stocks,
                                                 g_ptr_array_index (names, i));

      action_list_init (&list);
      if (stock != NULL)
        fn (stocker, stock, &list, data);
      run_stock (stocker, g_ptr_array_index (names, i), &list);
    }
  g_ptr_array_unref (names);
}

static void
tick_stock (struct stocker *stocker, struct stock *stock,
            struct action_list *out, const void *data)
{
  (void)data;
  stock_tick (stock, now_of (stocker), out);
}

static void
tick_stocks (struct stocker *stocker)
{
  each_stock (stocker, tick_stock, NULL);
  if (!stocker->deciding)
    return;
  stocker->tick_at = ts_add_ms (now_of (stocker), STOCK_TICK_MS);
  tell_holdings (stocker);
}

static void
take_entry (struct stocker *stocker, const struct server_entry *entry)
{
  struct stock *stock = g_hash_table_lookup (stocker->stocks, entry->service);

  if (stock != NULL && entry->holding != NULL)
    stock_engine (stock, entry);
}

/* Engines listed before this tenure.  */
static void
take_listed (struct stocker *stocker)
{
  const struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter,
                          servers_all (listing_servers (stocker->listing)));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      struct server_entry entry = { .id = server->route->id,
                                    .address = server->route->address,
                                    .zone = server->route->zone,
                                    .service = server->route->pool,
                                    .slots = server->slots,
                                    .leaving = server->leaving,
                                    .holding = server->holding };

      take_entry (stocker, &entry);
    }
}

static void
take_site (struct stocker *stocker, struct site *site)
{
  struct stock_options options
      = { .loads_at_once = stocker->core->settings->loads_at_once,
          .now = now_of (stocker) };
  struct site *before = stocker->site;

  stocker->site = site_ref (site);
  for (guint i = 0; stocker->deciding && i < site->services->len; i++)
    {
      const struct site_service *service
          = &g_array_index (site->services, struct site_service, i);
      struct stock *stock;

      if (!service->engines)
        continue;
      stock = g_hash_table_lookup (stocker->stocks, service->name);
      if (stock == NULL)
        {
          stock = stock_new (&options);
          g_hash_table_insert (stocker->stocks, g_strdup (service->name),
                               stock);
        }
      stock_service (stock, service, options.now);
    }
  site_unref (before);
}

static gboolean
unconfigured (gpointer name, gpointer stock, gpointer site)
{
  (void)stock;
  return site_service (site, name) == NULL;
}

static void
configure (struct stocker *stocker, struct site *site)
{
  g_hash_table_foreach_remove (stocker->stocks, unconfigured, site);
  take_site (stocker, site);
  take_listed (stocker);
}

/* Wants of this node.  */

struct flush
{
  struct stocker *stocker;
  GArray *wants; /* struct peer_want, strings borrowed */
  bool all;
};

/* Splits "SERVICE TARGET".  */
static struct stock *
stock_of (const struct stocker *stocker, const char *want, const char **target)
{
  const char *space = strchr (want, ' ');
  struct stock *stock;
  char *service;

  if (space == NULL)
    return NULL;
  service = g_strndup (want, (gsize)(space - want));
  stock = g_hash_table_lookup (stocker->stocks, service);
  g_free (service);
  *target = space + 1;
  return stock;
}

static void
want_here (struct stocker *stocker, const char *node,
           const struct peer_want *want)
{
  const char *target = NULL;
  struct stock *stock = stock_of (stocker, want->target, &target);

  if (stock == NULL)
    return;
  if (want->calls > 0)
    stock_call (stock, target, (unsigned)want->calls, now_of (stocker));
  stock_want (stock, node, target, (unsigned)want->count,
              (unsigned)want->priority);
}

static void
flush_want (void *user, struct want *want)
{
  struct flush *flush = user;
  struct peer_want wire = { .target = want->target,
                            .count = want->waiting,
                            .calls = want->calls,
                            .priority = want->priority };

  if (!want->changed && !(flush->all && want->waiting > 0))
    return;
  want->changed = false;
  want->calls = 0;
  if (flush->stocker->deciding)
    want_here (flush->stocker, flush->stocker->core->node, &wire);
  else
    g_array_append_val (flush->wants, wire);
}

/* The node that decides, as last heard.  */
static const char *
decider (const struct stocker *stocker)
{
  struct timespec at = spread_in_at (stocker->in);
  struct timespec fresh_until = ts_add_ms (at, SERVERS_TOLD_MS);

  if (!ts_is_zero (at) && ts_before (now_of (stocker), fresh_until))
    return spread_in_from (stocker->in);
  return lease_holder (stocker->lease);
}

static void
flush_wants (struct stocker *stocker, bool all)
{
  const char *to = decider (stocker);
  struct flush flush = { .stocker = stocker, .all = all };
  struct peer_msg msg = { .type = PEER_WANTS, .cell = (char *)CELL };

  if (!stocker->deciding && to == NULL)
    return;
  flush.wants = g_array_new (FALSE, TRUE, sizeof (struct peer_want));
  wants_each (stocker->wants, flush_want, &flush);
  msg.wants = (struct peer_want *)flush.wants->data;
  msg.want_count = flush.wants->len;
  if (msg.want_count > 0)
    links_send (stocker->links, to, &msg);
  g_array_unref (flush.wants);
  wants_prune (stocker->wants);
  if (stocker->deciding)
    tick_stocks (stocker);
}

static void
flush_fire (struct loop_timer *timer)
{
  struct stocker *stocker
      = (struct stocker *)((char *)timer - offsetof (struct stocker, flush));
  struct timespec now = now_of (stocker);
  bool all = !ts_before (now, stocker->repeat_at);

  if (all)
    stocker->repeat_at = ts_add_ms (now, REPEAT_MS);
  flush_wants (stocker, all);
  loop_timer_set (stocker->core->loop, timer, stocker->repeat_at);
  set_timer (stocker);
}

static void
flush_soon (struct stocker *stocker)
{
  struct timespec at = ts_add_ms (now_of (stocker), FLUSH_MS);

  if (ts_before (at, stocker->flush.at))
    loop_timer_set (stocker->core->loop, &stocker->flush, at);
}

void
stocker_call (struct stocker *stocker, const char *service, const char *target)
{
  char *want = g_strdup_printf ("%s %s", service, target);

  wants_call (stocker->wants, want);
  g_free (want);
}

void
stocker_want (struct stocker *stocker, const char *service, const char *target,
              unsigned waiting, struct timespec deadline, unsigned priority)
{
  char *want = g_strdup_printf ("%s %s", service, target);

  wants_set (stocker->wants, THREAD, want, waiting, deadline, priority);
  g_free (want);
  flush_soon (stocker);
}

static void
take_wants (struct stocker *stocker, const char *from,
            const struct peer_msg *msg)
{
  if (!stocker->deciding)
    return;
  for (size_t i = 0; i < msg->want_count; i++)
    if (msg->wants[i].target != NULL)
      want_here (stocker, from, &msg->wants[i]);
  stocker->tick_at = now_of (stocker);
  set_timer (stocker);
}

/* The lease.  */

static void
log_lease (const struct stocker *stocker, enum log_event event, uint64_t fence)
{
  struct log_line line;

  (void)stocker;
  log_begin (&line, event);
  log_str (&line, "cell", CELL);
  log_int (&line, "fence", (int64_t)fence);
  log_end (&line);
}

static void
lease_won (struct stocker *stocker, uint64_t fence)
{
  log_lease (stocker, EVENT_LEASE_WON, fence);
  stocker->deciding = true;
  stocker->tenure++;
  spread_out_free (stocker->out);
  stocker->out = spread_out_new (CELL, fence);
  stocker->tick_at = now_of (stocker);
  if (listing_site (stocker->listing) != NULL)
    configure (stocker, listing_site (stocker->listing));
}

static void
lease_gone (struct stocker *stocker, uint64_t fence)
{
  if (!stocker->deciding)
    return;
  log_lease (stocker, EVENT_LEASE_LOST, fence);
  stocker->deciding = false;
  g_hash_table_remove_all (stocker->stocks);
}

static const struct platform_row *
own_row (const struct platform_rows *rows)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, "cell/" CELL) == 0)
      return &rows->rows[i];
  return NULL;
}

static void
on_lease_row (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct stocker *stocker = user;
  struct action_list list;

  action_list_init (&list);
  lease_row (stocker->lease, status, own_row (rows), now_of (stocker), &list);
  run_lease (stocker, &list);
  set_timer (stocker);
}

static void
on_lease_txn (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct errand *errand = user;
  struct stocker *stocker = errand->stocker;
  struct action_list list;

  action_list_init (&list);
  lease_txn_done (stocker->lease, errand->attempt, status, own_row (rows),
                  now_of (stocker), &list);
  run_lease (stocker, &list);
  set_timer (stocker);
  errand_free (errand);
}

static void
send_txn (struct stocker *stocker, const struct lease_action *action)
{
  struct platform *platform = stocker->core->platform;
  struct errand *errand = errand_new (stocker, NULL, NULL);
  struct platform_txn_cb cb = { .done = on_lease_txn, .user = errand };

  errand->attempt = action->attempt;
  platform->ops->txn (platform, &action->txn, cb);
}

static void
run_lease_action (struct stocker *stocker, const struct lease_action *action)
{
  struct platform *platform = stocker->core->platform;
  struct platform_rows_cb read = { .done = on_lease_row, .user = stocker };
  struct peer_msg handover = { .type = PEER_HANDOVER, .cell = (char *)CELL };

  switch ((enum lease_action_type)action->action.type)
    {
    case LEASE_READ:
      platform->ops->scan (platform, action->key, 1, read);
      break;
    case LEASE_TXN:
      send_txn (stocker, action);
      break;
    case LEASE_WON:
      lease_won (stocker, action->fence);
      break;
    case LEASE_RENEWED:
      break;
    case LEASE_LOST:
      lease_gone (stocker, action->fence);
      break;
    case LEASE_RELEASED:
      lease_gone (stocker, action->fence);
      links_broadcast (stocker->links, &handover);
      break;
    }
}

static void
run_lease (struct stocker *stocker, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      run_lease_action (stocker, (struct lease_action *)next);
      action_free (next);
    }
}

static void
timer_fire (struct loop_timer *timer)
{
  struct stocker *stocker
      = (struct stocker *)((char *)timer - offsetof (struct stocker, timer));
  struct timespec now = now_of (stocker);
  struct action_list list;

  action_list_init (&list);
  lease_tick (stocker->lease, now, &list);
  run_lease (stocker, &list);
  if (stocker->deciding && !ts_before (now, stocker->tick_at))
    tick_stocks (stocker);
  set_timer (stocker);
}

/* Candidates are the live nodes by id; who holds the lease stays first.  */
static void
take_members (struct stocker *stocker)
{
  size_t count;
  const struct member_info *const *members
      = links_members (stocker->links, &count);
  struct timespec now = now_of (stocker);
  unsigned before = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];

      if (info->state == MEMBER_DEAD)
        lease_holder_dead (stocker->lease, info->id, now);
      else if (info->state != MEMBER_LEAVING
               && strcmp (info->id, stocker->core->node) < 0)
        before++;
      if (info->state == MEMBER_DEAD && stocker->deciding)
        {
          struct stock *stock;
          GHashTableIter iter;

          g_hash_table_iter_init (&iter, stocker->stocks);
          while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&stock))
            stock_node_gone (stock, info->id);
        }
    }
  if (stocker->core->draining)
    before = UINT_MAX;
  lease_set_rank (stocker->lease, stocker->deciding ? 0 : before, now);
  set_timer (stocker);
}

static void
take_peer (struct stocker *stocker, const struct links_msg *peer)
{
  struct action_list list;

  if (g_strcmp0 (peer->msg->cell, CELL) != 0)
    return;
  if (peer->msg->type == PEER_WANTS)
    take_wants (stocker, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS)
    take_replicas (stocker, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS_ASK)
    send_full (stocker, peer->from);
  else if (peer->msg->type == PEER_HANDOVER)
    {
      action_list_init (&list);
      lease_hint (stocker->lease, now_of (stocker), &list);
      run_lease (stocker, &list);
      set_timer (stocker);
    }
}

static void
drop_engine (struct stocker *stocker, struct stock *stock,
             struct action_list *out, const void *id)
{
  (void)stocker;
  (void)out;
  stock_engine_gone (stock, id);
}

static void
give_up_lease (struct stocker *stocker)
{
  struct action_list list;

  action_list_init (&list);
  lease_set_rank (stocker->lease, UINT_MAX, now_of (stocker));
  lease_release (stocker->lease, now_of (stocker), &list);
  run_lease (stocker, &list);
  set_timer (stocker);
}

static void
stocker_event (struct service *service, const struct kernel_event *event)
{
  struct stocker *stocker = (struct stocker *)service;

  switch (event->type)
    {
    case KERNEL_SITE:
      if (stocker->deciding)
        configure (stocker, (struct site *)event->data);
      break;
    case KERNEL_ENTRY:
      take_entry (stocker, event->data);
      break;
    case KERNEL_DROPPED:
      each_stock (stocker, drop_engine, event->data);
      break;
    case KERNEL_MEMBERS:
      take_members (stocker);
      break;
    case KERNEL_PEER:
      take_peer (stocker, event->data);
      break;
    case KERNEL_LINKED:
      send_full (stocker, event->data);
      break;
    case KERNEL_DRAIN:
      give_up_lease (stocker);
      break;
    default:
      break;
    }
}

static int
stocker_start (struct service *service, struct kernel *kernel)
{
  struct stocker *stocker = (struct stocker *)service;
  struct lease_options options = { .cell = CELL };

  stocker->core = core_find (kernel);
  stocker->links = links_find (kernel);
  stocker->listing = listing_find (kernel);
  options.node = stocker->core->node;
  options.incarnation = stocker->core->incarnation;
  options.rand = stocker->core->rand;
  options.duration = ts_from_ms (LEASE_MS);
  options.margin = ts_from_ms (MARGIN_MS);
  stocker->lease = lease_new (&options);
  stocker->timer.fire = timer_fire;
  stocker->flush.fire = flush_fire;
  loop_timer_set (stocker->core->loop, &stocker->flush, now_of (stocker));
  take_members (stocker);
  return 0;
}

static void
stocker_stop (struct service *service)
{
  struct stocker *stocker = (struct stocker *)service;

  loop_timer_clear (stocker->core->loop, &stocker->timer);
  loop_timer_clear (stocker->core->loop, &stocker->flush);
}

static const struct service_ops stocker_ops
    = { stocker_start, stocker_stop, stocker_event };

static void
free_stock (gpointer stock)
{
  stock_free (stock);
}

struct service *
stocker_new (void)
{
  struct stocker *stocker = g_new0 (struct stocker, 1);

  stocker->service.ops = &stocker_ops;
  stocker->service.name = STOCKER_NAME;
  stocker->stocks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stock);
  stocker->in = spread_in_new ();
  stocker->wants = wants_new ();
  return &stocker->service;
}

void
stocker_free (struct service *service)
{
  struct stocker *stocker = (struct stocker *)service;

  if (stocker == NULL)
    return;
  g_hash_table_unref (stocker->stocks);
  spread_out_free (stocker->out);
  spread_in_free (stocker->in);
  wants_free (stocker->wants);
  lease_free (stocker->lease);
  site_unref (stocker->site);
  g_free (stocker);
}

struct stocker *
stocker_find (struct kernel *kernel)
{
  return (struct stocker *)kernel_find (kernel, STOCKER_NAME);
}
