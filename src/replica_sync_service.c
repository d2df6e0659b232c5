#include "replica_sync_service.h"

#include <string.h>
#include <glib.h>
#include "cell.h"
#include "cells.h"
#include "core.h"
#include "fleet.h"
#include "links.h"
#include "replica_sync.h"
#include "ts.h"

#define SYNC_INTERVAL_MS 100 /* between messages of changes */
#define HEARTBEAT_MS 500     /* sent when nothing has changed for so long */

struct replica_sync_service
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct links *links;
  struct cells *cells;
  GHashTable *senders;   /* cell name to struct cell_sender */
  GHashTable *receivers; /* cell name to struct replica_receiver */
  struct loop_timer timer;
};

struct cell_sender
{
  struct replica_sender *replicas;
  uint64_t fence;
  struct timespec sent_at;
};

static void
cell_sender_free (gpointer pointer)
{
  struct cell_sender *sender = pointer;

  replica_sender_free (sender->replicas);
  g_free (sender);
}

static void
receiver_free (gpointer receiver)
{
  replica_receiver_free (receiver);
}

static struct timespec
sync_now (const struct replica_sync_service *sync)
{
  return loop_now (sync->core->loop);
}

/* Sending.  */

static uint64_t
age_ms (const struct replica_sync_service *sync,
        const struct fleet_engine *engine)
{
  int64_t ms = ts_to_ms (ts_sub (sync_now (sync), engine->reported_at));

  return ms > 0 ? (uint64_t)ms : 0;
}

static struct peer_replica
make_replica (const struct replica_sync_service *sync,
              const struct fleet_engine *engine, const char *name,
              const struct fleet_copy *copy)
{
  struct peer_replica replica = { .engine = engine->id,
                                  .address = engine->address,
                                  .model = (char *)name,
                                  .version = copy->version,
                                  .state = copy->state,
                                  .slots = engine->slots,
                                  .running = engine->running,
                                  .queued = engine->queued,
                                  .leaving = fleet_leaving (engine),
                                  .age_ms = age_ms (sync, engine) };

  return replica;
}

static void
add_models (struct replica_sync_service *sync, struct cell *cell,
            const struct fleet_engine *engine, GArray *list)
{
  struct timespec now = sync_now (sync);
  struct timespec ready_at;
  const struct fleet_copy *copy;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&copy))
    {
      struct peer_replica replica = make_replica (sync, engine, name, copy);

      if (copy->state == BACKEND_COPY_LOADING
          && cell_loading (cell, name, &ready_at) && ts_before (now, ready_at))
        replica.ready_ms = (uint64_t)ts_to_ms (ts_sub (ready_at, now));
      g_array_append_val (list, replica);
    }
}

static void
add_adapters (struct replica_sync_service *sync,
              const struct fleet_engine *engine, GArray *list)
{
  const struct fleet_copy *copy;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, engine->adapters);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&copy))
    {
      struct peer_replica replica = make_replica (sync, engine, name, copy);

      replica.adapter = (char *)name;
      g_array_append_val (list, replica);
    }
}

static GArray *
replicas_of_cell (struct replica_sync_service *sync, struct cell *cell)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  const struct fleet_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, fleet_engines (sync->fleet));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      if (strcmp (engine->pool, cell_pool (cell)) != 0
          || !fleet_reachable (engine))
        continue;
      add_models (sync, cell, engine, list);
      add_adapters (sync, engine, list);
    }
  return list;
}

static struct cell_sender *
get_sender (struct replica_sync_service *sync, const struct cell *cell)
{
  struct cell_sender *sender
      = g_hash_table_lookup (sync->senders, cell_name (cell));

  if (sender != NULL && sender->fence == cell_fence (cell))
    return sender;
  sender = g_new0 (struct cell_sender, 1);
  sender->fence = cell_fence (cell);
  sender->replicas = replica_sender_new (cell_name (cell), sender->fence);
  g_hash_table_replace (sync->senders, g_strdup (cell_name (cell)), sender);
  return sender;
}

static void
send_changes (void *user, struct cell *cell)
{
  struct replica_sync_service *sync = user;
  struct timespec now = sync_now (sync);
  struct peer_msg msg;
  struct cell_sender *sender;
  GArray *list;

  if (!cell_runs_placement (cell) || cell_fence (cell) == 0)
    return;
  sender = get_sender (sync, cell);
  list = replicas_of_cell (sync, cell);
  replica_sender_changes (sender->replicas, (struct peer_replica *)list->data,
                          list->len, now, &msg);
  if (msg.replica_count > 0
      || !ts_before (now, ts_add_ms (sender->sent_at, HEARTBEAT_MS)))
    {
      sender->sent_at = now;
      links_broadcast (sync->links, &msg);
    }
  peer_msg_clear (&msg);
  g_array_unref (list);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct replica_sync_service *sync
      = (struct replica_sync_service *)((char *)timer
                                        - offsetof (
                                            struct replica_sync_service,
                                            timer));

  cells_each (sync->cells, send_changes, sync);
  loop_timer_set (sync->core->loop, timer,
                  ts_add_ms (sync_now (sync), SYNC_INTERVAL_MS));
}

static void
send_full (struct replica_sync_service *sync, const struct links_msg *peer)
{
  struct cell *cell = cells_cell (sync->cells, peer->msg->cell);
  struct peer_msg msg;

  if (cell == NULL || !cell_runs_placement (cell) || cell_fence (cell) == 0)
    return;
  replica_sender_full (get_sender (sync, cell)->replicas, sync_now (sync),
                       &msg);
  links_send (sync->links, peer->from, &msg);
  peer_msg_clear (&msg);
}

/* Receiving.  */

static void
collect (void *user, const struct peer_replica *replica)
{
  g_ptr_array_add (user, (gpointer)replica);
}

static void
relay_to_fleet (struct replica_sync_service *sync, struct cell *cell,
                const struct replica_receiver *receiver)
{
  GPtrArray *replicas = g_ptr_array_new ();

  replica_receiver_each (receiver, collect, replicas);
  fleet_apply_relayed (sync->fleet, cell_pool (cell),
                       (const struct peer_replica *const *)replicas->pdata,
                       replicas->len);
  g_ptr_array_unref (replicas);
}

static struct replica_receiver *
get_receiver (struct replica_sync_service *sync, const char *name)
{
  struct replica_receiver *receiver
      = g_hash_table_lookup (sync->receivers, name);

  if (receiver != NULL)
    return receiver;
  receiver = replica_receiver_new ();
  g_hash_table_insert (sync->receivers, g_strdup (name), receiver);
  return receiver;
}

static void
request_full (struct replica_sync_service *sync, const struct links_msg *peer)
{
  struct peer_msg msg
      = { .type = PEER_REPLICAS_REQUEST, .cell = peer->msg->cell };

  links_send (sync->links, peer->from, &msg);
}

static void
on_replicas (struct replica_sync_service *sync, const struct links_msg *peer)
{
  struct cell *cell = cells_cell (sync->cells, peer->msg->cell);
  struct replica_receiver *receiver;
  enum replica_sync_result result;

  if (cell == NULL || cell_runs_placement (cell))
    return;
  receiver = get_receiver (sync, peer->msg->cell);
  result = replica_receiver_apply (receiver, peer->from, peer->msg,
                                   sync_now (sync));
  if (result != REPLICA_SYNC_STALE)
    cell_holder_announced (cell, peer->from, peer->msg->fence);
  if (result == REPLICA_SYNC_GAP)
    request_full (sync, peer);
  if (result == REPLICA_SYNC_APPLIED)
    relay_to_fleet (sync, cell, receiver);
}

struct search
{
  const char *model;
  const struct peer_replica *found;
};

static void
find_loading (void *user, const struct peer_replica *replica)
{
  struct search *search = user;

  if (replica->adapter == NULL && replica->state == BACKEND_COPY_LOADING
      && strcmp (replica->model, search->model) == 0)
    search->found = replica;
}

bool
replica_sync_service_loading (struct replica_sync_service *sync,
                              const char *model, struct timespec *ready_at)
{
  struct search search = { .model = model };
  const struct replica_receiver *receiver = NULL;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, sync->receivers);
  while (search.found == NULL
         && g_hash_table_iter_next (&iter, NULL, (gpointer *)&receiver))
    replica_receiver_each (receiver, find_loading, &search);
  if (search.found == NULL)
    return false;
  *ready_at = ts_add_ms (replica_receiver_updated_at (receiver),
                         (int64_t)search.found->ready_ms);
  return true;
}

static void
on_event (struct service *service, const struct kernel_event *event)
{
  struct replica_sync_service *sync = (struct replica_sync_service *)service;
  const struct links_msg *peer = event->data;

  if (event->type != KERNEL_PEER_MESSAGE || peer->msg->cell == NULL)
    return;
  if (peer->msg->type == PEER_REPLICAS)
    on_replicas (sync, peer);
  else if (peer->msg->type == PEER_REPLICAS_REQUEST)
    send_full (sync, peer);
}

static int
start (struct service *service, struct kernel *kernel)
{
  struct replica_sync_service *sync = (struct replica_sync_service *)service;

  sync->core = core_find (kernel);
  sync->fleet = fleet_find (kernel);
  sync->links = links_find (kernel);
  sync->cells = cells_find (kernel);
  sync->timer.fire = timer_fire;
  loop_timer_set (sync->core->loop, &sync->timer, sync_now (sync));
  return 0;
}

static void
stop (struct service *service)
{
  struct replica_sync_service *sync = (struct replica_sync_service *)service;

  loop_timer_clear (sync->core->loop, &sync->timer);
}

static const struct service_ops sync_ops = { start, stop, on_event };

struct service *
replica_sync_service_new (void)
{
  struct replica_sync_service *sync = g_new0 (struct replica_sync_service, 1);

  sync->service.ops = &sync_ops;
  sync->service.name = REPLICA_SYNC_SERVICE_NAME;
  sync->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         cell_sender_free);
  sync->receivers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, receiver_free);
  return &sync->service;
}

void
replica_sync_service_free (struct service *service)
{
  struct replica_sync_service *sync = (struct replica_sync_service *)service;

  if (sync == NULL)
    return;
  g_hash_table_unref (sync->senders);
  g_hash_table_unref (sync->receivers);
  g_free (sync);
}

struct replica_sync_service *
replica_sync_service_find (struct kernel *kernel)
{
  return (struct replica_sync_service *)kernel_find (
      kernel, REPLICA_SYNC_SERVICE_NAME);
}
