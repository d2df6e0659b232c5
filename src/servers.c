#include "servers.h"

#include <string.h>
#include "backend.h"
#include "ts.h"

struct servers
{
  GHashTable *all;      /* id to struct server */
  GHashTable *replicas; /* engine id to GHashTable: target to struct replica */
  struct timespec replicas_at;
};

struct replica
{
  bool loaded;
  struct timespec ready_at; /* estimate while it is being loaded, else zero */
};

void
server_entry_clear (struct server_entry *entry)
{
  g_free (entry->id);
  g_free (entry->address);
  g_free (entry->zone);
  g_free (entry->service);
  inventory_free (entry->inventory);
  memset (entry, 0, sizeof *entry);
}

static void
server_free (gpointer data)
{
  struct server *server = data;

  __atomic_store_n (&server->route->gone, 1, __ATOMIC_RELAXED);
  route_engine_unref (server->route);
  inventory_free (server->inventory);
  g_hash_table_unref (server->missing);
  g_free (server);
}

static void
unref_table (gpointer table)
{
  g_hash_table_unref (table);
}

struct servers *
servers_new (void)
{
  struct servers *servers = g_new0 (struct servers, 1);

  servers->all
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
  servers->replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_table);
  return servers;
}

void
servers_free (struct servers *servers)
{
  if (servers == NULL)
    return;
  g_hash_table_unref (servers->all);
  g_hash_table_unref (servers->replicas);
  g_free (servers);
}

char *
servers_target (const char *model, const char *adapter)
{
  if (adapter == NULL)
    return g_strdup (model);
  return g_strconcat (model, "/", adapter, NULL);
}

static struct server *
server_new (const struct server_entry *entry)
{
  struct server *server = g_new0 (struct server, 1);

  server->route = route_engine_new (entry->id, entry->address, entry->zone,
                                    entry->service);
  server->missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return server;
}

/* A server that has restarted, or has another address or service, is treated
   as a new one: its previous state does not apply.  */
static bool
same_server (const struct server *server, const struct server_entry *entry)
{
  bool restarted = server->inventory != NULL && entry->inventory != NULL
                   && server->inventory->born != entry->inventory->born;

  return !restarted && strcmp (server->route->address, entry->address) == 0
         && strcmp (server->route->pool, entry->service) == 0;
}

static bool
update_inventory (struct server *server, const struct inventory *inventory)
{
  if (inventory == NULL
      || (server->inventory != NULL
          && inventory_newer (server->inventory, inventory)))
    return false;
  inventory_free (server->inventory);
  server->inventory = inventory_copy (inventory);
  return true;
}

bool
servers_put (struct servers *servers, const struct server_entry *entry)
{
  struct server *server = servers_find (servers, entry->id);
  bool changed = false;

  if (server != NULL && !same_server (server, entry))
    {
      g_hash_table_remove (servers->replicas, entry->id);
      server = NULL;
    }
  if (server == NULL)
    {
      server = server_new (entry);
      g_hash_table_replace (servers->all, g_strdup (entry->id), server);
      changed = true;
    }
  changed = changed || server->leaving != entry->leaving
            || !ts_is_zero (server->drop_at);
  server->slots = entry->slots;
  server->leaving = entry->leaving;
  server->drop_at = (struct timespec){ 0 };
  return update_inventory (server, entry->inventory) || changed;
}

void
servers_drop (struct servers *servers, const char *id, struct timespec at)
{
  struct server *server = servers_find (servers, id);

  if (server != NULL && ts_is_zero (server->drop_at))
    server->drop_at = at;
}

bool
servers_expire (struct servers *servers, struct timespec now)
{
  const struct server *server;
  GHashTableIter iter;
  bool removed = false;

  g_hash_table_iter_init (&iter, servers->all);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    if (!ts_is_zero (server->drop_at) && !ts_before (now, server->drop_at))
      {
        g_hash_table_remove (servers->replicas, server->route->id);
        g_hash_table_iter_remove (&iter);
        removed = true;
      }
  return removed;
}

struct server *
servers_find (const struct servers *servers, const char *id)
{
  return g_hash_table_lookup (servers->all, id);
}

GHashTable *
servers_all (const struct servers *servers)
{
  return servers->all;
}

void
servers_report_load (struct servers *servers, const char *id, unsigned running,
                     unsigned queued, struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL)
    return;
  server->running = running;
  server->queued = queued;
  server->inflight_at_load = server->route->inflight;
  server->load_at = now;
}

void
servers_report_missing (struct servers *servers, const char *id,
                        const char *target, struct timespec now)
{
  struct server *server = servers_find (servers, id);
  struct timespec *until;

  if (server == NULL)
    return;
  until = g_new (struct timespec, 1);
  *until = ts_add_ms (now, SERVERS_MISSING_TTL_MS);
  g_hash_table_replace (server->missing, g_strdup (target), until);
}

void
servers_replicas_begin (struct servers *servers, struct timespec at)
{
  g_hash_table_remove_all (servers->replicas);
  servers->replicas_at = at;
}

void
servers_replicas_add (struct servers *servers,
                      const struct peer_replica *replica)
{
  GHashTable *targets
      = g_hash_table_lookup (servers->replicas, replica->engine);
  struct replica *added = g_new0 (struct replica, 1);

  if (targets == NULL)
    {
      targets
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (servers->replicas, g_strdup (replica->engine),
                           targets);
    }
  added->loaded = replica->state == BACKEND_COPY_LOADED;
  if (replica->state == BACKEND_COPY_LOADING)
    added->ready_at
        = ts_add_ms (servers->replicas_at, (int64_t)replica->ready_ms);
  g_hash_table_replace (
      targets, servers_target (replica->model, replica->adapter), added);
}

static bool
is_missing (const struct server *server, const char *target,
            struct timespec now)
{
  const struct timespec *until = g_hash_table_lookup (server->missing, target);

  if (until == NULL)
    return false;
  if (ts_before (now, *until))
    return true;
  g_hash_table_remove (server->missing, target);
  return false;
}

static void
update_ready_at (const struct replica *replica, struct timespec *ready_at)
{
  if (replica == NULL || ts_is_zero (replica->ready_at))
    return;
  if (ts_is_zero (*ready_at) || ts_before (replica->ready_at, *ready_at))
    *ready_at = replica->ready_at;
}

/* Whether MODEL, with ADAPTER unless that is NULL, is loaded on SERVER.  If
   not, *READY_AT is updated as in servers_replicas.  */
static bool
is_loaded (const struct servers *servers, const struct server *server,
           const char *model, const char *adapter, struct timespec now,
           struct timespec *ready_at)
{
  struct timespec fresh_until
      = ts_add_ms (servers->replicas_at, SERVERS_REPLICAS_TTL_MS);
  GHashTable *targets = NULL;
  const struct replica *replica;
  char *target;

  if (!ts_is_zero (servers->replicas_at) && ts_before (now, fresh_until))
    targets = g_hash_table_lookup (servers->replicas, server->route->id);
  if (targets == NULL)
    return server->inventory != NULL
           && inventory_has (server->inventory, model, adapter);
  target = servers_target (model, adapter);
  replica = g_hash_table_lookup (targets, target);
  g_free (target);
  if (replica != NULL && replica->loaded)
    return true;
  update_ready_at (replica, ready_at);
  return false;
}

/* Updates *READY_AT for MODEL, which is on no engine and which none is loading
   yet.  */
static void
update_expected_ready_at (const struct servers *servers, const char *model,
                          struct timespec now, struct timespec *ready_at)
{
  struct timespec fresh_until
      = ts_add_ms (servers->replicas_at, SERVERS_REPLICAS_TTL_MS);
  GHashTable *expected
      = g_hash_table_lookup (servers->replicas, SERVERS_NO_ENGINE);

  if (expected != NULL && ts_before (now, fresh_until))
    update_ready_at (g_hash_table_lookup (expected, model), ready_at);
}

static void
append_replica (const struct server *server, const char *adapter,
                GArray *replicas)
{
  struct route_replica replica
      = { .engine = server->route,
          .slots = server->slots,
          .running = server->running,
          .queued = server->queued,
          .inflight_at_report = server->inflight_at_load,
          .reported_at = server->load_at,
          .leaving = server->leaving,
          .adapter_loaded = adapter != NULL };

  g_array_append_val (replicas, replica);
}

void
servers_replicas (struct servers *servers, const char *service,
                  const char *model, const char *adapter, struct timespec now,
                  GArray *replicas, struct timespec *ready_at)
{
  char *target = model != NULL ? servers_target (model, adapter) : NULL;
  const struct server *server;
  GHashTableIter iter;

  *ready_at = (struct timespec){ 0 };
  g_hash_table_iter_init (&iter, servers->all);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      if (strcmp (server->route->pool, service) != 0 || server->leaving)
        continue;
      if (model != NULL
          && (!is_loaded (servers, server, model, adapter, now, ready_at)
              || is_missing (server, target, now)))
        continue;
      append_replica (server, adapter, replicas);
    }
  if (model != NULL && replicas->len == 0 && ts_is_zero (*ready_at))
    update_expected_ready_at (servers, model, now, ready_at);
  g_free (target);
}
