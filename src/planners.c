#include "planners.h"

#include <limits.h>
#include <string.h>
#include "counter.h"
#include "cutoff.h"
#include "planners_state.h"

/* Lease duration, which is the minimum time between orders of two successive
   deciders.  */
#define LEASE_MS 3000
/* Maximum delivery time of an order: none is sent this close to the end of the
   lease.  */
#define DELIVERY_MARGIN_MS 700
/* Pause after a tick, per server.  A tick costs some microseconds per server,
   and the changes that it makes trigger the next one.  */
#define TICK_PAUSE_US 100L

void
planners_set_timer (struct planners *planners)
{
  struct timespec at = lease_next (planners->lease);

  if (planners->deciding)
    at = ts_min (at, planners->tick_at);
  loop_timer_set (planners->core->loop, &planners->timer, at);
}

/* Planners.  */

void
planners_each_planner (struct planners *planners,
                       void (*fn) (struct planners *planners,
                                   struct planner *planner,
                                   struct action_list *out, const void *data),
                       const void *data)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  struct action_list list;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, planners->by_service);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  for (guint i = 0; i < names->len; i++)
    {
      struct planner *planner = g_hash_table_lookup (
          planners->by_service, g_ptr_array_index (names, i));

      action_list_init (&list);
      if (planner != NULL)
        fn (planners, planner, &list, data);
      planners_run_planner (planners, g_ptr_array_index (names, i), &list);
    }
  g_ptr_array_unref (names);
}

static void
set_limits (const struct planners *planners, struct planner *planner)
{
  const struct server *server;
  GHashTableIter iter;
  const char *id;

  g_hash_table_iter_init (&iter,
                          servers_all (listing_servers (planners->listing)));
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, (gpointer *)&server))
    {
      planner_set_limit (planner, id,
                         ratelimits_per_s (planners->ratelimits, id));
      planner_set_pace (planner, id, server->pace.drift);
    }
}

static void
tick_planner (struct planners *planners, struct planner *planner,
              struct action_list *out, const void *data)
{
  struct timespec now = planners_now (planners);

  (void)data;
  set_limits (planners, planner);
  planner_tick (planner, now, out);
  planners->short_models += planner_short_models (planner);
  planners->tick_at
      = ts_min (planners->tick_at, planner_next_tick (planner, now));
}

static size_t
server_count (const struct planners *planners)
{
  return g_hash_table_size (servers_all (listing_servers (planners->listing)));
}

void
planners_tick (struct planners *planners)
{
  throttle_run_done (&planners->throttle, server_count (planners),
                     TICK_PAUSE_US, planners_now (planners));
  planners->tick_at = ts_add_ms (planners_now (planners), PLANNER_TICK_MS);
  planners->short_models = 0;
  if (planners_may_decide (planners))
    planners_each_planner (planners, tick_planner, NULL);
  counter_set (COUNTER_SHORT_MODELS, planners->short_models);
  if (planners->deciding)
    planners_publish_replicas (planners);
}

void
planners_tick_soon (struct planners *planners)
{
  struct timespec at
      = throttle_next_run (&planners->throttle, planners_now (planners));

  planners->tick_at = ts_min (planners->tick_at, at);
  planners_set_timer (planners);
}

void
planners_update_engine (struct planners *planners,
                        const struct server_entry *entry)
{
  struct planner *planner
      = g_hash_table_lookup (planners->by_service, entry->service);

  if (planner != NULL && entry->inventory != NULL)
    planner_update_engine (planner, entry);
}

/* Adds the engines that were listed before this term began.  */
static void
add_listed_engines (struct planners *planners)
{
  const struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter,
                          servers_all (listing_servers (planners->listing)));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      struct server_entry entry = { .id = server->route->id,
                                    .address = server->route->address,
                                    .zone = server->route->zone,
                                    .service = server->route->pool,
                                    .software = server->route->software,
                                    .slots = server->slots,
                                    .leaving = server->leaving,
                                    .inventory = server->inventory };

      planners_update_engine (planners, &entry);
    }
}

/* Of SERVICE; created when first asked for; borrowed.  */
static struct reqtime *
request_time (struct planners *planners, const char *service)
{
  struct reqtime *time
      = g_hash_table_lookup (planners->request_times, service);

  if (time == NULL)
    {
      time = g_new (struct reqtime, 1);
      reqtime_init (time);
      g_hash_table_insert (planners->request_times, g_strdup (service), time);
    }
  return time;
}

/* Of SERVICE; created when first asked for; borrowed.  */
static struct modelspeed *
model_speeds (struct planners *planners, const char *service)
{
  struct modelspeed *speed = g_hash_table_lookup (planners->speeds, service);

  if (speed == NULL)
    {
      speed = modelspeed_new ();
      g_hash_table_insert (planners->speeds, g_strdup (service), speed);
    }
  return speed;
}

void
planners_observe_first (struct planners *planners, const char *service,
                        const char *model, double ratio)
{
  modelspeed_add (model_speeds (planners, service), model, ratio);
}

static void
update_planners (struct planners *planners, struct site *site)
{
  struct planner_options options
      = { .loads_at_once = planners->core->settings->loads_at_once,
          .now = planners_now (planners) };
  struct site *previous = planners->site;

  planners->site = site_ref (site);
  for (guint i = 0; planners->deciding && i < site->services->len; i++)
    {
      const struct site_service *service
          = &g_array_index (site->services, struct site_service, i);
      struct planner *planner;

      if (!service->engines)
        continue;
      planner = g_hash_table_lookup (planners->by_service, service->name);
      if (planner == NULL)
        {
          planner = planner_new (&options);
          planner_set_request_time (
              planner, request_time (planners, service->name)->mean_s);
          planner_set_speeds (planner, model_speeds (planners, service->name));
          g_hash_table_insert (planners->by_service, g_strdup (service->name),
                               planner);
        }
      planner_set_service (planner, service, options.now);
    }
  site_unref (previous);
}

static gboolean
is_not_configured (gpointer name, gpointer planner, gpointer site)
{
  (void)planner;
  return site_service (site, name) == NULL;
}

void
planners_configure (struct planners *planners, struct site *site)
{
  g_hash_table_foreach_remove (planners->by_service, is_not_configured, site);
  update_planners (planners, site);
  add_listed_engines (planners);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct planners *planners
      = (struct planners *)((char *)timer - offsetof (struct planners, timer));
  struct timespec now = planners_now (planners);
  struct action_list list;

  action_list_init (&list);
  lease_tick (planners->lease, now, &list);
  planners_run_lease (planners, &list);
  if (planners->deciding && !ts_before (now, planners->tick_at))
    planners_tick (planners);
  planners_set_timer (planners);
}

/* A node that does not reach the engines of a service can neither order nor
   hear what they hold.  */
static bool
is_cut_off (const struct planners *planners)
{
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, planners->cut_off);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    {
      const struct site_service *service
          = site_service (listing_site (planners->listing), name);

      if (service != NULL && service->engines)
        return true;
    }
  return false;
}

/* The candidates are the live nodes, ordered by id.  The holder of the lease
   ranks first and is not counted by the others, so that the next node by id
   succeeds it.  */
void
planners_rank (struct planners *planners)
{
  size_t count;
  const struct member_info *const *members
      = links_members (planners->links, &count);
  const char *holder = lease_holder (planners->lease);
  unsigned rank = 0;

  for (size_t i = 0; i < count; i++)
    if (member_is_routable (members[i])
        && strcmp (members[i]->id, planners->core->node) < 0
        && g_strcmp0 (members[i]->id, holder) != 0)
      rank++;
  if (planners->core->draining || is_cut_off (planners))
    rank = UINT_MAX;
  lease_set_rank (planners->lease, planners->deciding ? 0 : rank,
                  planners_now (planners));
}

static void
update_members (struct planners *planners)
{
  size_t count;
  const struct member_info *const *members
      = links_members (planners->links, &count);
  struct timespec now = planners_now (planners);

  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];

      if (info->state == MEMBER_DEAD)
        lease_holder_dead (planners->lease, info->id, now);
      if (info->state == MEMBER_DEAD && planners->deciding)
        {
          struct planner *planner;
          GHashTableIter iter;

          g_hash_table_iter_init (&iter, planners->by_service);
          while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&planner))
            planner_remove_node (planner, info->id);
        }
    }
  planners_rank (planners);
  planners_set_timer (planners);
}

static void
receive_peer_message (struct planners *planners, const struct links_msg *peer)
{
  struct action_list list;

  if (g_strcmp0 (peer->msg->cell, PLANNERS_CELL) != 0)
    return;
  if (peer->msg->type == PEER_WANTS)
    planners_receive_demand (planners, peer->from, peer->msg);
  else if (peer->msg->type == PEER_LOADS)
    planners_receive_loads (planners, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS)
    planners_receive_replicas (planners, peer->from, peer->msg);
  else if (peer->msg->type == PEER_REPLICAS_REQUEST)
    planners_send_all_replicas (planners, peer->from);
  else if (peer->msg->type == PEER_HANDOVER)
    {
      action_list_init (&list);
      lease_hint (planners->lease, planners_now (planners), &list);
      planners_run_lease (planners, &list);
      planners_set_timer (planners);
    }
}

static void
remove_engine (struct planners *planners, struct planner *planner,
               struct action_list *out, const void *id)
{
  (void)planners;
  (void)out;
  planner_remove_engine (planner, id);
}

static void
release_lease (struct planners *planners)
{
  struct action_list list;

  action_list_init (&list);
  lease_set_rank (planners->lease, UINT_MAX, planners_now (planners));
  lease_release (planners->lease, planners_now (planners), &list);
  planners_run_lease (planners, &list);
  planners_set_timer (planners);
}

static void
set_cut_off (struct planners *planners, const struct cutoff_change *change)
{
  if (change->cut_off)
    g_hash_table_add (planners->cut_off, g_strdup (change->service));
  else
    g_hash_table_remove (planners->cut_off, change->service);
  if (planners->deciding && is_cut_off (planners))
    release_lease (planners);
  planners_rank (planners);
  planners_set_timer (planners);
}

static void
enter_era (struct planners *planners)
{
  struct action_list list;

  action_list_init (&list);
  lease_set_era (planners->lease, planners->core->platform->era,
                 planners_now (planners), &list);
  planners_run_lease (planners, &list);
  planners_set_timer (planners);
}

static void
planners_event (struct service *service, const struct kernel_event *event)
{
  struct planners *planners = (struct planners *)service;

  switch (event->type)
    {
    case KERNEL_SITE_CHANGED:
      if (planners->deciding)
        planners_configure (planners, (struct site *)event->data);
      planners_tick_soon (planners);
      break;
    case KERNEL_SERVERS_CHANGED:
      planners_tick_soon (planners);
      break;
    case KERNEL_SERVER_LISTED:
      planners_update_engine (planners, event->data);
      break;
    case KERNEL_SERVER_REMOVED:
      planners_each_planner (planners, remove_engine, event->data);
      break;
    case KERNEL_MEMBERS_CHANGED:
      update_members (planners);
      break;
    case KERNEL_PEER_MESSAGE:
      receive_peer_message (planners, event->data);
      break;
    case KERNEL_PEER_CONNECTED:
      if (planners->deciding)
        planners_send_all_replicas (planners, event->data);
      break;
    case KERNEL_STORE_RESTORED:
      enter_era (planners);
      break;
    case KERNEL_DRAIN_STARTED:
      release_lease (planners);
      break;
    case KERNEL_SERVICE_CUT_OFF:
      set_cut_off (planners, event->data);
      break;
    default:
      break;
    }
}

static void
on_notice (void *user, const char *engine, const struct backend_notice *notice)
{
  const struct planners *planners = user;

  listing_server_notice (planners->listing, engine, notice);
  ratelimits_heard (planners->ratelimits, engine, notice);
}

static int
planners_start (struct service *service, struct kernel *kernel)
{
  struct planners *planners = (struct planners *)service;
  struct lease_options options = { .cell = PLANNERS_CELL };

  planners->core = core_find (kernel);
  planners->links = links_find (kernel);
  planners->listing = listing_find (kernel);
  planners->ratelimits = ratelimits_find (kernel);
  if (planners->core->backend != NULL)
    {
      planners->core->backend->notice = on_notice;
      planners->core->backend->notice_user = planners;
    }
  options.node = planners->core->node;
  options.incarnation = planners->core->incarnation;
  options.rand = planners->core->rand;
  options.checks_fence = planners->options.checks_fence;
  options.duration = ts_from_ms (LEASE_MS);
  options.margin = ts_from_ms (DELIVERY_MARGIN_MS);
  planners->lease = lease_new (&options);
  planners->timer.fire = timer_fire;
  planners->flush.fire = planners_flush_demand;
  planners->loads.fire = planners_share_loads;
  loop_timer_set (planners->core->loop, &planners->flush,
                  planners_now (planners));
  loop_timer_set (planners->core->loop, &planners->loads,
                  planners_now (planners));
  update_members (planners);
  return 0;
}

static void
planners_stop (struct service *service)
{
  struct planners *planners = (struct planners *)service;

  loop_timer_clear (planners->core->loop, &planners->timer);
  loop_timer_clear (planners->core->loop, &planners->flush);
  loop_timer_clear (planners->core->loop, &planners->loads);
}

static const struct service_ops planners_ops
    = { planners_start, planners_stop, planners_event };

static void
free_speed (gpointer speed)
{
  modelspeed_free (speed);
}

static void
free_planner (gpointer planner)
{
  planner_free (planner);
}

struct service *
planners_new (const struct planners_options *options)
{
  struct planners *planners = g_new0 (struct planners, 1);

  planners->service.ops = &planners_ops;
  planners->service.name = PLANNERS_NAME;
  planners->options = *options;
  planners->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_planner);
  planners->in = replica_receiver_new ();
  planners->demand = demand_new ();
  planners->request_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  planners->speeds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_speed);
  planners->cut_off
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &planners->service;
}

void
planners_free (struct service *service)
{
  struct planners *planners = (struct planners *)service;

  if (planners == NULL)
    return;
  g_hash_table_unref (planners->by_service);
  replica_sender_free (planners->out);
  replica_receiver_free (planners->in);
  demand_free (planners->demand);
  g_hash_table_unref (planners->request_times);
  g_hash_table_unref (planners->speeds);
  g_hash_table_unref (planners->cut_off);
  lease_free (planners->lease);
  site_unref (planners->site);
  g_free (planners);
}

void
planners_request_ended (struct planners *planners, const char *service,
                        const struct reqtime_sample *sample)
{
  struct reqtime *time = request_time (planners, service);
  struct planner *planner
      = g_hash_table_lookup (planners->by_service, service);

  reqtime_add (time, sample);
  if (planner != NULL)
    planner_set_request_time (planner, time->mean_s);
}

bool
planners_deciding (const struct planners *planners)
{
  return planners->deciding;
}

struct planners *
planners_find (struct kernel *kernel)
{
  return (struct planners *)kernel_find (kernel, PLANNERS_NAME);
}
