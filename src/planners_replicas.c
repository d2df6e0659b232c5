#include <string.h>
#include "planners_state.h"

/* Interval of published changes, per node of the fleet: the leaseholder's work
   for a message grows with the number of receivers.  */
#define PUBLISH_INTERVAL_US_PER_NODE 500
/* Between two requests for the complete list.  */
#define REQUEST_INTERVAL_MS 200

/* Publishing, while this node decides.  */

static void
append_replica (void *user, const struct peer_replica *replica)
{
  g_array_append_vals (user, replica, 1);
}

/* Adds the age and version of the server list and of the configuration.  */
static void
add_ages (const struct planners *planners, struct peer_msg *msg)
{
  const struct site *site = listing_site (planners->listing);

  msg->since = (uint64_t)MAX (listing_age_ms (planners->listing), 1);
  msg->version = site != NULL ? site->version : 0;
  msg->config_age_ms
      = (uint64_t)MAX (listing_config_age_ms (planners->listing), 1);
  msg->list_version = listing_version (planners->listing);
  msg->list_era = planners->core->platform->era;
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
                                      .version = server->route->software,
                                      .slots = server->slots,
                                      .leaving = server->leaving,
                                      .born = (uint64_t)server->born,
                                      .kept = !ts_is_zero (server->drop_at) };

      g_array_append_val (replicas, replica);
    }
}

/* Applies CHANGES to this node's own table of servers.  REPLICAS is the
   complete list.  */
static void
update_own_servers (struct planners *planners, const struct peer_msg *changes,
                    const GArray *replicas)
{
  struct servers *servers = listing_servers (planners->listing);
  struct timespec now = planners_now (planners);

  if (changes->full || !servers_replicas_complete (servers))
    {
      servers_replicas_begin (servers, now);
      for (guint i = 0; i < replicas->len; i++)
        servers_replicas_add (
            servers, &g_array_index (replicas, struct peer_replica, i));
      return;
    }
  servers_replicas_update (servers, now);
  for (size_t i = 0; i < changes->replica_count; i++)
    if (changes->replicas[i].gone)
      servers_replicas_remove (servers, &changes->replicas[i]);
    else
      servers_replicas_add (servers, &changes->replicas[i]);
}

static bool
is_publish_due (const struct planners *planners, struct timespec now)
{
  size_t nodes;
  int64_t interval_ms;

  links_members (planners->links, &nodes);
  interval_ms = (int64_t)nodes * PUBLISH_INTERVAL_US_PER_NODE / TS_US_PER_MS;
  return !ts_before (now, ts_add_ms (planners->compared_at, interval_ms));
}

/* Whether a message is due although no replica has changed: to repeat the last
   one, or because the list of servers or the configuration is newer.  */
static bool
is_heartbeat_due (const struct planners *planners, const struct peer_msg *msg,
                  struct timespec now)
{
  struct timespec repeat_at
      = ts_add_ms (planners->published_at, PLANNERS_REPEAT_MS);

  return msg->version != planners->published_version
         || (int64_t)msg->since < planners->published_age_ms
         || (int64_t)msg->config_age_ms < planners->published_config_age_ms
         || !ts_before (now, repeat_at);
}

void
planners_publish_replicas (struct planners *planners)
{
  struct timespec now = planners_now (planners);
  GArray *replicas;
  struct peer_msg msg;
  struct planner *planner;
  GHashTableIter iter;

  if (!is_publish_due (planners, now))
    return;
  planners->compared_at = now;
  replicas = g_array_new (FALSE, FALSE, sizeof (struct peer_replica));
  g_hash_table_iter_init (&iter, planners->by_service);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&planner))
    planner_each_replica (planner, now, append_replica, replicas);
  add_servers (planners, replicas);
  replica_sender_changes (planners->out, (struct peer_replica *)replicas->data,
                          replicas->len, now, &msg);
  update_own_servers (planners, &msg, replicas);
  add_ages (planners, &msg);
  if (msg.replica_count > 0)
    kernel_post (planners->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
  if (msg.replica_count > 0 || is_heartbeat_due (planners, &msg, now))
    {
      msg.node = g_strdup (planners->core->node);
      links_fan_out (planners->links, &msg);
      planners->published_at = now;
      planners->published_version = msg.version;
      planners->published_age_ms = (int64_t)msg.since;
      planners->published_config_age_ms = (int64_t)msg.config_age_ms;
    }
  peer_msg_clear (&msg);
  g_array_unref (replicas);
}

/* Sends the complete list to node TO, if this node has it.  */
void
planners_send_all_replicas (struct planners *planners, const char *to)
{
  struct timespec now = planners_now (planners);
  struct peer_msg msg;

  if (planners->deciding)
    {
      replica_sender_full (planners->out, now, &msg);
      add_ages (planners, &msg);
    }
  else if (replica_receiver_full (planners->in, PLANNERS_CELL, now, &msg))
    {
      msg.since = (uint64_t)MAX (listing_peer_age_ms (planners->listing), 1);
      msg.version = planners->in_version;
      msg.config_age_ms
          = (uint64_t)listing_peer_config_age_ms (planners->listing);
      msg.list_version = planners->in_list_version;
      msg.list_era = planners->in_list_era;
    }
  else
    return;
  links_send (planners->links, to, &msg);
  peer_msg_clear (&msg);
}

/* Receiving.  */

static bool
is_whole_server (const struct peer_replica *replica)
{
  return strcmp (replica->model, SERVERS_WHOLE_SERVER) == 0;
}

static void
add_replica (void *user, const struct peer_replica *replica)
{
  struct planners *planners = user;

  if (is_whole_server (replica))
    listing_peer_list_add (planners->listing, replica);
  else
    servers_replicas_add (listing_servers (planners->listing), replica);
}

static void
apply_change (struct planners *planners, const struct peer_replica *replica)
{
  if (replica->engine == NULL || replica->model == NULL)
    return;
  if (!replica->gone)
    add_replica (planners, replica);
  else if (is_whole_server (replica))
    listing_peer_list_remove (planners->listing, replica->engine);
  else
    servers_replicas_remove (listing_servers (planners->listing), replica);
}

static struct listing_peer_info
peer_info (const struct peer_msg *msg)
{
  return (struct listing_peer_info){ .age_ms = (int64_t)msg->since,
                                     .config_version = msg->version,
                                     .config_age_ms
                                     = (int64_t)msg->config_age_ms,
                                     .list_version = msg->list_version,
                                     .list_era = msg->list_era };
}

/* Applies all replicas as received so far.  */
static void
apply_all (struct planners *planners, const struct peer_msg *msg)
{
  struct listing_peer_info info = peer_info (msg);

  servers_replicas_begin (listing_servers (planners->listing),
                          replica_receiver_updated_at (planners->in));
  listing_peer_list_begin (planners->listing, &info);
  replica_receiver_each (planners->in, add_replica, planners);
  listing_peer_list_end (planners->listing);
}

static void
apply_changes (struct planners *planners, const struct peer_msg *msg)
{
  struct listing_peer_info info = peer_info (msg);
  struct servers *servers = listing_servers (planners->listing);

  if (msg->full || !listing_peer_list_update (planners->listing, &info)
      || !servers_replicas_complete (servers))
    {
      apply_all (planners, msg);
      return;
    }
  servers_replicas_update (servers,
                           replica_receiver_updated_at (planners->in));
  for (size_t i = 0; i < msg->replica_count; i++)
    apply_change (planners, &msg->replicas[i]);
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

/* Requests the complete list from FROM.  Copies of one message arrive through
   several relays; only one of them is asked.  */
static void
request_all_replicas (struct planners *planners, const char *from)
{
  struct peer_msg request
      = { .type = PEER_REPLICAS_REQUEST, .cell = (char *)PLANNERS_CELL };
  struct timespec now = planners_now (planners);

  if (ts_before (now, ts_add_ms (planners->requested_at, REQUEST_INTERVAL_MS)))
    return;
  planners->requested_at = now;
  links_send (planners->links, from, &request);
}

void
planners_receive_replicas (struct planners *planners, const char *from,
                           const struct peer_msg *msg)
{
  const char *origin = msg->node != NULL ? msg->node : from;
  enum replica_sync_result result;
  uint64_t fence = replica_receiver_fence (planners->in);

  if (strcmp (origin, planners->core->node) == 0)
    return;
  step_down_if_fenced (planners, msg->fence);
  /* From a former decider that does not know yet.  */
  if (planners->deciding && msg->fence < lease_fence (planners->lease))
    return;
  result = replica_receiver_apply (planners->in, origin, msg,
                                   planners_now (planners));
  if (msg->relay && result != REPLICA_SYNC_STALE)
    links_relay (planners->links, from, msg);
  if (result == REPLICA_SYNC_GAP)
    request_all_replicas (planners, from);
  if (result == REPLICA_SYNC_APPLIED)
    {
      planners->in_version = msg->version;
      planners->in_list_version = msg->list_version;
      planners->in_list_era = msg->list_era;
      apply_changes (planners, msg);
      if (msg->replica_count > 0)
        kernel_post (planners->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
    }
  if (replica_receiver_fence (planners->in) != fence)
    planners_resend_demand (planners);
}
