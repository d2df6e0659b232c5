#include <string.h>
#include "planners_state.h"

#define FLUSH_DELAY_MS 5         /* batches the changes of a burst */
#define ARRIVALS_MAX_DELAY_MS 50 /* maximum delay of arrival counts */
#define DEMAND_THREAD 0          /* the only source of demand at this node */

/* Replicas on the engines, published to this node's table of servers and to
   all other nodes.  */

static void
append_replica (void *user, const struct peer_replica *replica)
{
  g_array_append_vals (user, replica, 1);
}

static void
update_own_servers (struct planners *planners, const GArray *replicas)
{
  struct servers *servers = listing_servers (planners->listing);

  servers_replicas_begin (servers, planners_now (planners));
  for (guint i = 0; i < replicas->len; i++)
    servers_replicas_add (servers,
                          &g_array_index (replicas, struct peer_replica, i));
}

/* Adds the age of the server list and the version of the configuration in
   force.  */
static void
add_list_age (const struct planners *planners, struct peer_msg *msg)
{
  const struct site *site = listing_site (planners->listing);

  msg->since = (uint64_t)MAX (listing_age_ms (planners->listing), 1);
  msg->version = site != NULL ? site->version : 0;
}

/* Appends each listed server, as a replica of SERVERS_WHOLE_SERVER.  */
static void
add_servers (struct planners *planners, GArray *replicas)
{
  const struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter,
                          servers_all (listing_servers (planners->listing)));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      struct peer_replica replica = { .engine = server->route->id,
                                      .address = server->route->address,
                                      .zone = server->route->zone,
                                      .pool = server->route->pool,
                                      .model = (char *)SERVERS_WHOLE_SERVER,
                                      .slots = server->slots,
                                      .leaving = server->leaving };

      g_array_append_val (replicas, replica);
    }
}

void
planners_publish_replicas (struct planners *planners)
{
  GArray *replicas = g_array_new (FALSE, FALSE, sizeof (struct peer_replica));
  struct timespec now = planners_now (planners);
  struct peer_msg msg;
  struct planner *planner;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, planners->by_service);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&planner))
    planner_each_replica (planner, now, append_replica, replicas);
  update_own_servers (planners, replicas);
  add_servers (planners, replicas);
  replica_sender_changes (planners->out, (struct peer_replica *)replicas->data,
                          replicas->len, now, &msg);
  add_list_age (planners, &msg);
  if (msg.replica_count > 0)
    kernel_post (planners->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
  if (msg.replica_count > 0 || msg.version != planners->published_version
      || !ts_before (now,
                     ts_add_ms (planners->published_at, PLANNERS_REPEAT_MS)))
    {
      links_broadcast (planners->links, &msg);
      planners->published_at = now;
      planners->published_version = msg.version;
    }
  peer_msg_clear (&msg);
  g_array_unref (replicas);
}

static void
apply_replica (void *user, const struct peer_replica *replica)
{
  struct planners *planners = user;

  if (strcmp (replica->model, SERVERS_WHOLE_SERVER) != 0)
    servers_replicas_add (listing_servers (planners->listing), replica);
  else
    listing_peer_list_add (planners->listing, replica);
}

/* Gives up the lease if another node decides with a higher fencing token.  */
static void
step_down_if_fenced (struct planners *planners, uint64_t fence)
{
  struct action_list list;

  if (!planners->deciding || fence <= lease_fence (planners->lease))
    return;
  action_list_init (&list);
  lease_fenced (planners->lease, fence, planners_now (planners), &list);
  planners_run_lease (planners, &list);
}

void
planners_receive_replicas (struct planners *planners, const char *from,
                           const struct peer_msg *msg)
{
  struct servers *servers = listing_servers (planners->listing);
  struct peer_msg request
      = { .type = PEER_REPLICAS_REQUEST, .cell = (char *)PLANNERS_CELL };

  step_down_if_fenced (planners, msg->fence);
  switch (replica_receiver_apply (planners->in, from, msg,
                                  planners_now (planners)))
    {
    case REPLICA_SYNC_GAP:
      links_send (planners->links, from, &request);
      break;
    case REPLICA_SYNC_APPLIED:
      servers_replicas_begin (servers,
                              replica_receiver_updated_at (planners->in));
      listing_peer_list_begin (planners->listing, (int64_t)msg->since,
                               msg->version);
      replica_receiver_each (planners->in, apply_replica, planners);
      listing_peer_list_end (planners->listing);
      if (msg->replica_count > 0)
        kernel_post (planners->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
      break;
    case REPLICA_SYNC_STALE:
      break;
    }
}

void
planners_send_all_replicas (struct planners *planners, const char *to)
{
  struct peer_msg msg;

  if (!planners->deciding)
    return;
  replica_sender_full (planners->out, &msg);
  add_list_age (planners, &msg);
  links_send (planners->links, to, &msg);
  peer_msg_clear (&msg);
}

/* Demand of this node: waiting requests and arrivals by target.  */

struct flush
{
  struct planners *planners;
  GArray *wants; /* struct peer_want, strings borrowed */
  bool all;      /* also targets whose demand has not changed */
};

/* The planner for KEY, "SERVICE TARGET"; NULL if there is none.  */
static struct planner *
find_planner (const struct planners *planners, const char *key,
              const char **target)
{
  const char *space = strchr (key, ' ');
  struct planner *planner;
  char *service;

  if (space == NULL)
    return NULL;
  service = g_strndup (key, (gsize)(space - key));
  planner = g_hash_table_lookup (planners->by_service, service);
  g_free (service);
  *target = space + 1;
  return planner;
}

static void
apply_demand (struct planners *planners, const char *node,
              const struct peer_want *want)
{
  const char *target = NULL;
  struct planner *planner = find_planner (planners, want->target, &target);

  if (planner == NULL)
    return;
  if (want->calls > 0)
    planner_request_arrived (planner, target, (double)want->calls,
                             planners_now (planners));
  planner_set_waiting (planner, node, target, (unsigned)want->count,
                       (unsigned)want->priority, planners_now (planners));
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
  demand->changed = false;
  demand->calls = 0;
  if (planners_may_decide (flush->planners))
    apply_demand (flush->planners, flush->planners->core->node, &want);
  else
    g_array_append_val (flush->wants, want);
}

/* The node that currently decides, as far as is known; NULL if unknown.  */
static const char *
current_decider (const struct planners *planners)
{
  struct timespec at = replica_receiver_updated_at (planners->in);
  struct timespec fresh_until = ts_add_ms (at, SERVERS_REPLICAS_TTL_MS);

  if (!ts_is_zero (at) && ts_before (planners_now (planners), fresh_until))
    return replica_receiver_source (planners->in);
  return lease_holder (planners->lease);
}

static void
flush_demand (struct planners *planners, bool all)
{
  const char *to = current_decider (planners);
  struct flush flush = { .planners = planners, .all = all };
  struct peer_msg msg = { .type = PEER_WANTS, .cell = (char *)PLANNERS_CELL };

  if (!planners_may_decide (planners)
      && (to == NULL || strcmp (to, planners->core->node) == 0))
    return;
  flush.wants = g_array_new (FALSE, TRUE, sizeof (struct peer_want));
  demand_each (planners->demand, flush_target, &flush);
  msg.wants = (struct peer_want *)flush.wants->data;
  msg.want_count = flush.wants->len;
  if (msg.want_count > 0)
    links_send (planners->links, to, &msg);
  g_array_unref (flush.wants);
  demand_prune (planners->demand);
  if (planners->deciding)
    planners_tick_soon (planners);
}

void
planners_flush_demand (struct loop_timer *timer)
{
  struct planners *planners
      = (struct planners *)((char *)timer - offsetof (struct planners, flush));
  struct timespec now = planners_now (planners);
  bool all = !ts_before (now, planners->repeat_at);

  if (all)
    planners->repeat_at = ts_add_ms (now, PLANNERS_REPEAT_MS);
  flush_demand (planners, all);
  loop_timer_set (planners->core->loop, timer, planners->repeat_at);
  planners_set_timer (planners);
}

static void
flush_within (struct planners *planners, int64_t ms)
{
  struct timespec at = ts_add_ms (planners_now (planners), ms);

  if (ts_before (at, planners->flush.at))
    loop_timer_set (planners->core->loop, &planners->flush, at);
}

void
planners_request_arrived (struct planners *planners, const char *service,
                          const char *target)
{
  char *key = g_strdup_printf ("%s %s", service, target);

  demand_request_arrived (planners->demand, key);
  flush_within (planners, ARRIVALS_MAX_DELAY_MS);
  g_free (key);
}

void
planners_set_waiting (struct planners *planners, const char *service,
                      const char *target, unsigned waiting,
                      struct timespec deadline, unsigned priority)
{
  char *key = g_strdup_printf ("%s %s", service, target);

  demand_set (planners->demand, DEMAND_THREAD, key, waiting, deadline,
              priority);
  g_free (key);
  flush_within (planners, FLUSH_DELAY_MS);
}

void
planners_receive_demand (struct planners *planners, const char *from,
                         const struct peer_msg *msg)
{
  if (!planners->deciding)
    return;
  for (size_t i = 0; i < msg->want_count; i++)
    if (msg->wants[i].target != NULL)
      apply_demand (planners, from, &msg->wants[i]);
  planners_tick_soon (planners);
}
