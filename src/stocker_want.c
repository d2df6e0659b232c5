#include <string.h>
#include "stocker_state.h"

#define FLUSH_MS 5  /* gathers what a burst wants */
#define CALLS_MS 50 /* calls are told to the decider within */
#define THREAD 0    /* the only one that wants anything */

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

  servers_told_begin (servers, stocker_now (stocker));
  for (guint i = 0; i < replicas->len; i++)
    servers_told (servers, &g_array_index (replicas, struct peer_replica, i));
}

/* How old the list is, and which configuration is in force here.  */
static void
add_listing (const struct stocker *stocker, struct peer_msg *msg)
{
  const struct site *site = listing_site (stocker->listing);

  msg->since = (uint64_t)MAX (listing_age_ms (stocker->listing), 1);
  msg->version = site != NULL ? site->version : 0;
}

/* Every server that is listed.  */
static void
add_servers (struct stocker *stocker, GArray *replicas)
{
  const struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter,
                          servers_all (listing_servers (stocker->listing)));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      struct peer_replica replica = { .engine = server->route->id,
                                      .address = server->route->address,
                                      .zone = server->route->zone,
                                      .pool = server->route->pool,
                                      .model = (char *)SERVERS_ITSELF,
                                      .slots = server->slots,
                                      .leaving = server->leaving };

      g_array_append_val (replicas, replica);
    }
}

void
stocker_tell_holdings (struct stocker *stocker)
{
  GArray *replicas = g_array_new (FALSE, FALSE, sizeof (struct peer_replica));
  struct timespec now = stocker_now (stocker);
  struct peer_msg msg;
  struct stock *stock;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, stocker->stocks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&stock))
    stock_each (stock, now, collect, replicas);
  tell_own_servers (stocker, replicas);
  add_servers (stocker, replicas);
  spread_out_make (stocker->out, (struct peer_replica *)replicas->data,
                   replicas->len, now, &msg);
  add_listing (stocker, &msg);
  if (msg.replica_count > 0)
    kernel_post (stocker->core->kernel, KERNEL_SERVERS, NULL);
  if (msg.replica_count > 0 || msg.version != stocker->told_version
      || !ts_before (now, ts_add_ms (stocker->told_at, STOCKER_REPEAT_MS)))
    {
      links_broadcast (stocker->links, &msg);
      stocker->told_at = now;
      stocker->told_version = msg.version;
    }
  peer_msg_clear (&msg);
  g_array_unref (replicas);
}

static void
told (void *user, const struct peer_replica *replica)
{
  struct stocker *stocker = user;

  if (strcmp (replica->model, SERVERS_ITSELF) != 0)
    servers_told (listing_servers (stocker->listing), replica);
  else
    listing_told (stocker->listing, replica);
}

/* Another node decides with a higher token: this one's lease is over.  */
static void
step_down (struct stocker *stocker, uint64_t fence)
{
  struct action_list list;

  if (!stocker->deciding || fence <= lease_fence (stocker->lease))
    return;
  action_list_init (&list);
  lease_fenced (stocker->lease, fence, stocker_now (stocker), &list);
  stocker_run_lease (stocker, &list);
}

void
stocker_take_replicas (struct stocker *stocker, const char *from,
                       const struct peer_msg *msg)
{
  struct servers *servers = listing_servers (stocker->listing);
  struct peer_msg ask
      = { .type = PEER_REPLICAS_ASK, .cell = (char *)STOCKER_CELL };

  step_down (stocker, msg->fence);
  switch (spread_in_take (stocker->in, from, msg, stocker_now (stocker)))
    {
    case SPREAD_GAP:
      links_send (stocker->links, from, &ask);
      break;
    case SPREAD_TAKEN:
      servers_told_begin (servers, spread_in_at (stocker->in));
      listing_told_begin (stocker->listing, (int64_t)msg->since, msg->version);
      spread_in_each (stocker->in, told, stocker);
      listing_told_end (stocker->listing);
      if (msg->replica_count > 0)
        kernel_post (stocker->core->kernel, KERNEL_SERVERS, NULL);
      break;
    case SPREAD_STALE:
      break;
    }
}

void
stocker_send_full (struct stocker *stocker, const char *to)
{
  struct peer_msg msg;

  if (!stocker->deciding)
    return;
  spread_out_full (stocker->out, &msg);
  add_listing (stocker, &msg);
  links_send (stocker->links, to, &msg);
  peer_msg_clear (&msg);
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
    stock_call (stock, target, (double)want->calls, stocker_now (stocker));
  stock_want (stock, node, target, (unsigned)want->count,
              (unsigned)want->priority, stocker_now (stocker));
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
  if (stocker_sure (flush->stocker))
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

  if (!ts_is_zero (at) && ts_before (stocker_now (stocker), fresh_until))
    return spread_in_from (stocker->in);
  return lease_holder (stocker->lease);
}

static void
flush_wants (struct stocker *stocker, bool all)
{
  const char *to = decider (stocker);
  struct flush flush = { .stocker = stocker, .all = all };
  struct peer_msg msg = { .type = PEER_WANTS, .cell = (char *)STOCKER_CELL };

  if (!stocker_sure (stocker)
      && (to == NULL || strcmp (to, stocker->core->node) == 0))
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
    stocker_tick_soon (stocker);
}

void
stocker_flush_fire (struct loop_timer *timer)
{
  struct stocker *stocker
      = (struct stocker *)((char *)timer - offsetof (struct stocker, flush));
  struct timespec now = stocker_now (stocker);
  bool all = !ts_before (now, stocker->repeat_at);

  if (all)
    stocker->repeat_at = ts_add_ms (now, STOCKER_REPEAT_MS);
  flush_wants (stocker, all);
  loop_timer_set (stocker->core->loop, timer, stocker->repeat_at);
  stocker_set_timer (stocker);
}

static void
flush_within (struct stocker *stocker, int64_t ms)
{
  struct timespec at = ts_add_ms (stocker_now (stocker), ms);

  if (ts_before (at, stocker->flush.at))
    loop_timer_set (stocker->core->loop, &stocker->flush, at);
}

void
stocker_call (struct stocker *stocker, const char *service, const char *target)
{
  char *want = g_strdup_printf ("%s %s", service, target);

  wants_call (stocker->wants, want);
  flush_within (stocker, CALLS_MS);
  g_free (want);
}

void
stocker_want (struct stocker *stocker, const char *service, const char *target,
              unsigned waiting, struct timespec deadline, unsigned priority)
{
  char *want = g_strdup_printf ("%s %s", service, target);

  wants_set (stocker->wants, THREAD, want, waiting, deadline, priority);
  g_free (want);
  flush_within (stocker, FLUSH_MS);
}

void
stocker_take_wants (struct stocker *stocker, const char *from,
                    const struct peer_msg *msg)
{
  if (!stocker->deciding)
    return;
  for (size_t i = 0; i < msg->want_count; i++)
    if (msg->wants[i].target != NULL)
      want_here (stocker, from, &msg->wants[i]);
  stocker_tick_soon (stocker);
}
