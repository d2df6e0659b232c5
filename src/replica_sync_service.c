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

#define SPREAD_MS 100 /* between looks at what changed */
#define ALIVE_MS 500  /* a message without changes, at the latest */

struct replica_sync_service
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct links *links;
  struct cells *cells;
  GHashTable *outs; /* cell name to struct out */
  GHashTable *ins;  /* cell name to struct replica_receiver */
  struct loop_timer timer;
};

struct out
{
  struct replica_sender *spread;
  uint64_t fence;
  struct timespec told_at;
};

static void
out_free (gpointer pointer)
{
  struct out *out = pointer;

  replica_sender_free (out->spread);
  g_free (out);
}

static void
in_free (gpointer in)
{
  replica_receiver_free (in);
}

static struct timespec
now_of (const struct replica_sync_service *replica_sync_service)
{
  return loop_now (replica_sync_service->core->loop);
}

/* Sending.  */

static uint64_t
age_ms (const struct replica_sync_service *replica_sync_service,
        const struct fleet_engine *engine)
{
  int64_t ms
      = ts_to_ms (ts_sub (now_of (replica_sync_service), engine->reported_at));

  return ms > 0 ? (uint64_t)ms : 0;
}

static struct peer_replica
replica_of (const struct replica_sync_service *replica_sync_service,
            const struct fleet_engine *engine, const char *name,
            const struct fleet_copy *copy)
{
  struct peer_replica replica
      = { .engine = engine->id,
          .address = engine->address,
          .model = (char *)name,
          .version = copy->version,
          .state = copy->state,
          .slots = engine->slots,
          .running = engine->running,
          .queued = engine->queued,
          .leaving = fleet_leaving (engine),
          .age_ms = age_ms (replica_sync_service, engine) };

  return replica;
}

static void
add_models (struct replica_sync_service *replica_sync_service,
            struct cell *cell, const struct fleet_engine *engine, GArray *list)
{
  struct timespec now = now_of (replica_sync_service);
  struct timespec ready_at;
  const struct fleet_copy *copy;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&copy))
    {
      struct peer_replica replica
          = replica_of (replica_sync_service, engine, name, copy);

      if (copy->state == BACKEND_COPY_LOADING
          && cell_loading (cell, name, &ready_at) && ts_before (now, ready_at))
        replica.ready_ms = (uint64_t)ts_to_ms (ts_sub (ready_at, now));
      g_array_append_val (list, replica);
    }
}

static void
add_adapters (struct replica_sync_service *replica_sync_service,
              const struct fleet_engine *engine, GArray *list)
{
  const struct fleet_copy *copy;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, engine->adapters);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&copy))
    {
      struct peer_replica replica
          = replica_of (replica_sync_service, engine, name, copy);

      replica.adapter = (char *)name;
      g_array_append_val (list, replica);
    }
}

static GArray *
replicas_of_cell (struct replica_sync_service *replica_sync_service,
                  struct cell *cell)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  const struct fleet_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, fleet_engines (replica_sync_service->fleet));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      if (strcmp (engine->pool, cell_pool (cell)) != 0
          || !fleet_reachable (engine))
        continue;
      add_models (replica_sync_service, cell, engine, list);
      add_adapters (replica_sync_service, engine, list);
    }
  return list;
}

static struct out *
out_of (struct replica_sync_service *replica_sync_service,
        const struct cell *cell)
{
  struct out *out
      = g_hash_table_lookup (replica_sync_service->outs, cell_name (cell));

  if (out != NULL && out->fence == cell_fence (cell))
    return out;
  out = g_new0 (struct out, 1);
  out->fence = cell_fence (cell);
  out->spread = replica_sender_new (cell_name (cell), out->fence);
  g_hash_table_replace (replica_sync_service->outs,
                        g_strdup (cell_name (cell)), out);
  return out;
}

static void
tell_cell (void *user, struct cell *cell)
{
  struct replica_sync_service *replica_sync_service = user;
  struct timespec now = now_of (replica_sync_service);
  struct peer_msg msg;
  struct out *out;
  GArray *list;

  if (!cell_decides (cell) || cell_fence (cell) == 0)
    return;
  out = out_of (replica_sync_service, cell);
  list = replicas_of_cell (replica_sync_service, cell);
  replica_sender_changes (out->spread, (struct peer_replica *)list->data,
                          list->len, now, &msg);
  if (msg.replica_count > 0
      || !ts_before (now, ts_add_ms (out->told_at, ALIVE_MS)))
    {
      out->told_at = now;
      links_broadcast (replica_sync_service->links, &msg);
    }
  peer_msg_clear (&msg);
  g_array_unref (list);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct replica_sync_service *replica_sync_service
      = (struct replica_sync_service *)((char *)timer
                                        - offsetof (
                                            struct replica_sync_service,
                                            timer));

  cells_each (replica_sync_service->cells, tell_cell, replica_sync_service);
  loop_timer_set (replica_sync_service->core->loop, timer,
                  ts_add_ms (now_of (replica_sync_service), SPREAD_MS));
}

static void
send_full (struct replica_sync_service *replica_sync_service,
           const struct links_msg *peer)
{
  struct cell *cell
      = cells_cell (replica_sync_service->cells, peer->msg->cell);
  struct peer_msg msg;

  if (cell == NULL || !cell_decides (cell) || cell_fence (cell) == 0)
    return;
  replica_sender_full (out_of (replica_sync_service, cell)->spread, &msg);
  links_send (replica_sync_service->links, peer->from, &msg);
  peer_msg_clear (&msg);
}

/* Receiving.  */

static void
collect (void *user, const struct peer_replica *replica)
{
  g_ptr_array_add (user, (gpointer)replica);
}

static void
hand_to_fleet (struct replica_sync_service *replica_sync_service,
               struct cell *cell, const struct replica_receiver *in)
{
  GPtrArray *replicas = g_ptr_array_new ();

  replica_receiver_each (in, collect, replicas);
  fleet_take_passed (replica_sync_service->fleet, cell_pool (cell),
                     (const struct peer_replica *const *)replicas->pdata,
                     replicas->len);
  g_ptr_array_unref (replicas);
}

static struct replica_receiver *
in_of (struct replica_sync_service *replica_sync_service, const char *name)
{
  struct replica_receiver *in
      = g_hash_table_lookup (replica_sync_service->ins, name);

  if (in != NULL)
    return in;
  in = replica_receiver_new ();
  g_hash_table_insert (replica_sync_service->ins, g_strdup (name), in);
  return in;
}

static void
ask_full (struct replica_sync_service *replica_sync_service,
          const struct links_msg *peer)
{
  struct peer_msg msg
      = { .type = PEER_REPLICAS_REQUEST, .cell = peer->msg->cell };

  links_send (replica_sync_service->links, peer->from, &msg);
}

static void
take_replicas (struct replica_sync_service *replica_sync_service,
               const struct links_msg *peer)
{
  struct cell *cell
      = cells_cell (replica_sync_service->cells, peer->msg->cell);
  struct replica_receiver *in;
  enum replica_sync_result result;

  if (cell == NULL || cell_decides (cell))
    return;
  in = in_of (replica_sync_service, peer->msg->cell);
  result = replica_receiver_apply (in, peer->from, peer->msg,
                                   now_of (replica_sync_service));
  if (result != REPLICA_SYNC_STALE)
    cell_holder_announced (cell, peer->from, peer->msg->fence);
  if (result == REPLICA_SYNC_GAP)
    ask_full (replica_sync_service, peer);
  if (result == REPLICA_SYNC_APPLIED)
    hand_to_fleet (replica_sync_service, cell, in);
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
replica_sync_service_loading (
    struct replica_sync_service *replica_sync_service, const char *model,
    struct timespec *ready_at)
{
  struct search search = { .model = model };
  const struct replica_receiver *in = NULL;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, replica_sync_service->ins);
  while (search.found == NULL
         && g_hash_table_iter_next (&iter, NULL, (gpointer *)&in))
    replica_receiver_each (in, find_loading, &search);
  if (search.found == NULL)
    return false;
  *ready_at = ts_add_ms (replica_receiver_updated_at (in),
                         (int64_t)search.found->ready_ms);
  return true;
}

static void
spreads_event (struct service *service, const struct kernel_event *event)
{
  struct replica_sync_service *replica_sync_service
      = (struct replica_sync_service *)service;
  const struct links_msg *peer = event->data;

  if (event->type != KERNEL_PEER_MESSAGE || peer->msg->cell == NULL)
    return;
  if (peer->msg->type == PEER_REPLICAS)
    take_replicas (replica_sync_service, peer);
  else if (peer->msg->type == PEER_REPLICAS_REQUEST)
    send_full (replica_sync_service, peer);
}

static int
spreads_start (struct service *service, struct kernel *kernel)
{
  struct replica_sync_service *replica_sync_service
      = (struct replica_sync_service *)service;

  replica_sync_service->core = core_find (kernel);
  replica_sync_service->fleet = fleet_find (kernel);
  replica_sync_service->links = links_find (kernel);
  replica_sync_service->cells = cells_find (kernel);
  replica_sync_service->timer.fire = timer_fire;
  loop_timer_set (replica_sync_service->core->loop,
                  &replica_sync_service->timer, now_of (replica_sync_service));
  return 0;
}

static void
spreads_stop (struct service *service)
{
  struct replica_sync_service *replica_sync_service
      = (struct replica_sync_service *)service;

  loop_timer_clear (replica_sync_service->core->loop,
                    &replica_sync_service->timer);
}

static const struct service_ops spreads_ops
    = { spreads_start, spreads_stop, spreads_event };

struct service *
replica_sync_service_new (void)
{
  struct replica_sync_service *replica_sync_service
      = g_new0 (struct replica_sync_service, 1);

  replica_sync_service->service.ops = &spreads_ops;
  replica_sync_service->service.name = REPLICA_SYNC_SERVICE_NAME;
  replica_sync_service->outs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, out_free);
  replica_sync_service->ins
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, in_free);
  return &replica_sync_service->service;
}

void
replica_sync_service_free (struct service *service)
{
  struct replica_sync_service *replica_sync_service
      = (struct replica_sync_service *)service;

  if (replica_sync_service == NULL)
    return;
  g_hash_table_unref (replica_sync_service->outs);
  g_hash_table_unref (replica_sync_service->ins);
  g_free (replica_sync_service);
}

struct replica_sync_service *
replica_sync_service_find (struct kernel *kernel)
{
  return (struct replica_sync_service *)kernel_find (
      kernel, REPLICA_SYNC_SERVICE_NAME);
}
