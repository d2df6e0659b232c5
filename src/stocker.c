#include "stocker.h"

#include <limits.h>
#include <string.h>
#include "stocker_state.h"

/* The least time between the orders of two deciders.  */
#define LEASE_MS 3000
/* An order may take so long to its engine.  */
#define MARGIN_MS 700
/* Rest after a tick for each server: a tick takes some microseconds of each,
   and asks for the next by what it changes.  */
#define REST_US 100L

void
stocker_set_timer (struct stocker *stocker)
{
  struct timespec at = lease_next (stocker->lease);

  if (stocker->deciding)
    at = ts_min (at, stocker->tick_at);
  loop_timer_set (stocker->core->loop, &stocker->timer, at);
}

/* The stocks.  */

void
stocker_each_stock (struct stocker *stocker,
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
      stocker_run_stock (stocker, g_ptr_array_index (names, i), &list);
    }
  g_ptr_array_unref (names);
}

static void
tick_stock (struct stocker *stocker, struct stock *stock,
            struct action_list *out, const void *data)
{
  struct timespec now = stocker_now (stocker);

  (void)data;
  stock_tick (stock, now, out);
  stocker->tick_at = ts_min (stocker->tick_at, stock_next (stock, now));
}

static size_t
server_count (const struct stocker *stocker)
{
  return g_hash_table_size (servers_all (listing_servers (stocker->listing)));
}

void
stocker_tick (struct stocker *stocker)
{
  pace_done (&stocker->pace, server_count (stocker), REST_US,
             stocker_now (stocker));
  stocker->tick_at = ts_add_ms (stocker_now (stocker), STOCK_TICK_MS);
  if (stocker_sure (stocker))
    stocker_each_stock (stocker, tick_stock, NULL);
  if (stocker->deciding)
    stocker_tell_holdings (stocker);
}

void
stocker_tick_soon (struct stocker *stocker)
{
  struct timespec at = pace_next (&stocker->pace, stocker_now (stocker));

  stocker->tick_at = ts_min (stocker->tick_at, at);
  stocker_set_timer (stocker);
}

void
stocker_take_entry (struct stocker *stocker, const struct server_entry *entry)
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

      stocker_take_entry (stocker, &entry);
    }
}

static void
take_site (struct stocker *stocker, struct site *site)
{
  struct stock_options options
      = { .loads_at_once = stocker->core->settings->loads_at_once,
          .now = stocker_now (stocker) };
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

void
stocker_configure (struct stocker *stocker, struct site *site)
{
  g_hash_table_foreach_remove (stocker->stocks, unconfigured, site);
  take_site (stocker, site);
  take_listed (stocker);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct stocker *stocker
      = (struct stocker *)((char *)timer - offsetof (struct stocker, timer));
  struct timespec now = stocker_now (stocker);
  struct action_list list;

  action_list_init (&list);
  lease_tick (stocker->lease, now, &list);
  stocker_run_lease (stocker, &list);
  if (stocker->deciding && !ts_before (now, stocker->tick_at))
    stocker_tick (stocker);
  stocker_set_timer (stocker);
}

/* Candidates are the live nodes by id.  Who holds the lease stays first, and
   does not count for the others: they are to follow it.  */
void
stocker_rank (struct stocker *stocker)
{
  size_t count;
  const struct member_info *const *members
      = links_members (stocker->links, &count);
  const char *holder = lease_holder (stocker->lease);
  unsigned before = 0;

  for (size_t i = 0; i < count; i++)
    if (member_usable (members[i])
        && strcmp (members[i]->id, stocker->core->node) < 0
        && g_strcmp0 (members[i]->id, holder) != 0)
      before++;
  if (stocker->core->draining)
    before = UINT_MAX;
  lease_set_rank (stocker->lease, stocker->deciding ? 0 : before,
                  stocker_now (stocker));
}

static void
take_members (struct stocker *stocker)
{
  size_t count;
  const struct member_info *const *members
      = links_members (stocker->links, &count);
  struct timespec now = stocker_now (stocker);

  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];

      if (info->state == MEMBER_DEAD)
        lease_holder_dead (stocker->lease, info->id, now);
      if (info->state == MEMBER_DEAD && stocker->deciding)
        {
          struct stock *stock;
          GHashTableIter iter;

          g_hash_table_iter_init (&iter, stocker->stocks);
          while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&stock))
            stock_node_gone (stock, info->id);
        }
    }
  stocker_rank (stocker);
  stocker_set_timer (stocker);
}

static void
take_peer (struct stocker *stocker, const struct links_msg *peer)
{
  struct action_list list;

  if (g_strcmp0 (peer->msg->cell, STOCKER_CELL) != 0)
    return;
  if (peer->msg->type == PEER_WANTS)
    stocker_take_wants (stocker, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS)
    stocker_take_replicas (stocker, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS_ASK)
    stocker_send_full (stocker, peer->from);
  else if (peer->msg->type == PEER_HANDOVER)
    {
      action_list_init (&list);
      lease_hint (stocker->lease, stocker_now (stocker), &list);
      stocker_run_lease (stocker, &list);
      stocker_set_timer (stocker);
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
  lease_set_rank (stocker->lease, UINT_MAX, stocker_now (stocker));
  lease_release (stocker->lease, stocker_now (stocker), &list);
  stocker_run_lease (stocker, &list);
  stocker_set_timer (stocker);
}

static void
stocker_event (struct service *service, const struct kernel_event *event)
{
  struct stocker *stocker = (struct stocker *)service;

  switch (event->type)
    {
    case KERNEL_SITE:
      if (stocker->deciding)
        stocker_configure (stocker, (struct site *)event->data);
      stocker_tick_soon (stocker);
      break;
    case KERNEL_SERVERS:
      stocker_tick_soon (stocker);
      break;
    case KERNEL_ENTRY:
      stocker_take_entry (stocker, event->data);
      break;
    case KERNEL_DROPPED:
      stocker_each_stock (stocker, drop_engine, event->data);
      break;
    case KERNEL_MEMBERS:
      take_members (stocker);
      break;
    case KERNEL_PEER:
      take_peer (stocker, event->data);
      break;
    case KERNEL_LINKED:
      stocker_send_full (stocker, event->data);
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
  struct lease_options options = { .cell = STOCKER_CELL };

  stocker->core = core_find (kernel);
  stocker->links = links_find (kernel);
  stocker->listing = listing_find (kernel);
  options.node = stocker->core->node;
  options.incarnation = stocker->core->incarnation;
  options.rand = stocker->core->rand;
  options.checks_fence = stocker->options.checks_fence;
  options.duration = ts_from_ms (LEASE_MS);
  options.margin = ts_from_ms (MARGIN_MS);
  stocker->lease = lease_new (&options);
  stocker->timer.fire = timer_fire;
  stocker->flush.fire = stocker_flush_fire;
  loop_timer_set (stocker->core->loop, &stocker->flush, stocker_now (stocker));
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
stocker_new (const struct stocker_options *options)
{
  struct stocker *stocker = g_new0 (struct stocker, 1);

  stocker->service.ops = &stocker_ops;
  stocker->service.name = STOCKER_NAME;
  stocker->options = *options;
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
