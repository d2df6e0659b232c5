#include "servers.h"

#include <string.h>
#include "backend.h"
#include "holders.h"
#include "ts.h"
#include "versions.h"

struct servers
{
  GHashTable *all;        /* id to struct server */
  GHashTable *by_service; /* name to GHashTable: set of struct server */
  struct versions *versions;
  struct timespec expired_at; /* last call of servers_expire */
  /* Models and adapters on engines: as published by the decider, and as the
     platform lists them.  */
  struct holders *published;
  struct holders *listed;
  GHashTable *removed; /* id to struct removed */
  struct timespec published_at;
  bool published_partly; /* see servers_replicas_complete */
};

struct removed
{
  int64_t born; /* 0: unknown */
  bool said_leaving;
  struct timespec paused_until;
  struct timespec at;
};

void
server_entry_clear (struct server_entry *entry)
{
  g_free (entry->id);
  g_free (entry->address);
  g_free (entry->zone);
  g_free (entry->service);
  g_free (entry->software);
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
  servers->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_table);
  servers->removed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  servers->versions = versions_new ();
  servers->published = holders_new ();
  servers->listed = holders_new ();
  return servers;
}

void
servers_free (struct servers *servers)
{
  if (servers == NULL)
    return;
  g_hash_table_unref (servers->by_service);
  g_hash_table_unref (servers->all);
  g_hash_table_unref (servers->removed);
  versions_free (servers->versions);
  holders_free (servers->published);
  holders_free (servers->listed);
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
  server->route->software
      = g_strdup (entry->software != NULL ? entry->software : "");
  server->route->born = entry->born;
  server->missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return server;
}

/* A server that has restarted, or has another address, service or version of
   the software, is treated as a new one: its previous state does not apply.
 */
static bool
same_server (const struct server *server, const struct server_entry *entry)
{
  bool restarted = (server->inventory != NULL && entry->inventory != NULL
                    && server->inventory->born != entry->inventory->born)
                   || (server->born != 0 && entry->born != 0
                       && server->born != entry->born);

  return !restarted
         && (entry->software == NULL
             || strcmp (server->route->software, entry->software) == 0)
         && strcmp (server->route->address, entry->address) == 0
         && strcmp (server->route->pool, entry->service) == 0;
}

/* Enters the contents of the engine ID into the index of listed ones.  */
static void
index_inventory (struct servers *servers, const char *id,
                 const struct inventory *inventory)
{
  const struct holder loaded = { .loaded = true };

  holders_remove_engine (servers->listed, id);
  for (guint i = 0; i < inventory->models->len; i++)
    {
      const struct inventory_model *model
          = g_ptr_array_index (inventory->models, i);

      holders_put (servers->listed, id, model->name, &loaded);
      for (guint j = 0; j < model->adapters->len; j++)
        {
          char *target = servers_target (
              model->name, g_ptr_array_index (model->adapters, j));

          holders_put (servers->listed, id, target, &loaded);
          g_free (target);
        }
    }
}

static bool
update_inventory (struct servers *servers, struct server *server,
                  const struct inventory *inventory)
{
  bool changed;

  if (inventory == NULL
      || (server->inventory != NULL
          && inventory_newer (server->inventory, inventory)))
    return false;
  changed = server->inventory == NULL
            || !inventory_same_models (server->inventory, inventory);
  inventory_free (server->inventory);
  server->inventory = inventory_copy (inventory);
  if (changed)
    index_inventory (servers, server->route->id, inventory);
  return changed;
}

/* If ENTRY was missing for a while, what the server said still holds.  */
static void
recall_removed (const struct servers *servers, struct server *server,
                const struct server_entry *entry)
{
  const struct removed *removed
      = g_hash_table_lookup (servers->removed, entry->id);

  if (removed == NULL || entry->born == 0 || entry->born != removed->born)
    return;
  server->said_leaving = removed->said_leaving;
  server->paused_until = removed->paused_until;
}

static struct server *
add_server (struct servers *servers, const struct server_entry *entry)
{
  struct server *server = server_new (entry);
  GHashTable *set = g_hash_table_lookup (servers->by_service, entry->service);

  if (set == NULL)
    {
      set = g_hash_table_new (NULL, NULL);
      g_hash_table_insert (servers->by_service, g_strdup (entry->service),
                           set);
    }
  g_hash_table_add (set, server);
  versions_add (servers->versions, entry->service, server->route->software);
  g_hash_table_insert (servers->all, g_strdup (entry->id), server);
  recall_removed (servers, server, entry);
  return server;
}

/* Removes SERVER from the indexes, but not from the table of all servers.  */
static void
unindex_server (struct servers *servers, struct server *server)
{
  GHashTable *set
      = g_hash_table_lookup (servers->by_service, server->route->pool);

  holders_remove_engine (servers->listed, server->route->id);
  versions_remove (servers->versions, server->route->pool,
                   server->route->software, servers->expired_at);
  g_hash_table_remove (set, server);
  if (g_hash_table_size (set) == 0)
    g_hash_table_remove (servers->by_service, server->route->pool);
}

bool
servers_put (struct servers *servers, const struct server_entry *entry)
{
  struct server *server = servers_find (servers, entry->id);
  bool changed = false;
  bool leaving;

  if (server != NULL && !same_server (server, entry))
    {
      holders_remove_engine (servers->published, entry->id);
      servers->published_partly = true;
      unindex_server (servers, server);
      g_hash_table_remove (servers->all, entry->id);
      server = NULL;
    }
  if (server == NULL)
    {
      server = add_server (servers, entry);
      changed = true;
    }
  leaving = entry->leaving || server->said_leaving;
  changed
      = changed || server->leaving != leaving || !ts_is_zero (server->drop_at);
  server->slots = entry->slots;
  server->leaving = leaving;
  if (entry->born != 0)
    server->born = entry->born;
  server->drop_at = (struct timespec){ 0 };
  return update_inventory (servers, server, entry->inventory) || changed;
}

void
servers_drop (struct servers *servers, const char *id, struct timespec at)
{
  struct server *server = servers_find (servers, id);

  if (server != NULL
      && (ts_is_zero (server->drop_at) || ts_before (at, server->drop_at)))
    server->drop_at = at;
}

static void
remember_removed (struct servers *servers, const struct server *server,
                  struct timespec now)
{
  struct removed *removed = g_new (struct removed, 1);

  removed->born = server->born;
  removed->said_leaving = server->said_leaving;
  removed->paused_until = server->paused_until;
  removed->at = now;
  g_hash_table_replace (servers->removed, g_strdup (server->route->id),
                        removed);
}

static void
forget_removed (struct servers *servers, struct timespec now)
{
  const struct removed *removed;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, servers->removed);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&removed))
    if (ts_before (ts_add_ms (removed->at, SERVERS_REMOVED_TTL_MS), now))
      g_hash_table_iter_remove (&iter);
}

bool
servers_expire (struct servers *servers, struct timespec now)
{
  struct server *server;
  GHashTableIter iter;
  bool removed = false;

  servers->expired_at = now;
  g_hash_table_iter_init (&iter, servers->all);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    if (!ts_is_zero (server->drop_at) && !ts_before (now, server->drop_at))
      {
        remember_removed (servers, server, now);
        unindex_server (servers, server);
        g_hash_table_iter_remove (&iter);
        removed = true;
      }
  forget_removed (servers, now);
  return removed;
}

void
servers_list_restored (struct servers *servers)
{
  struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, servers->all);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    server->said_leaving = server->leaving;
}

bool
servers_is_outdated (const struct servers *servers,
                     const struct server_entry *entry)
{
  const struct server *server = servers_find (servers, entry->id);
  const struct removed *removed
      = g_hash_table_lookup (servers->removed, entry->id);

  if (server != NULL)
    return entry->born < server->born;
  return removed != NULL && entry->born <= removed->born;
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

bool
servers_report_notice (struct servers *servers, const char *id,
                       const struct backend_notice *notice,
                       struct timespec now)
{
  struct server *server = servers_find (servers, id);
  bool paused = servers_is_paused (servers, id, now);
  bool changed = false;

  if (server == NULL)
    return false;
  if (notice->pause_ms > 0)
    {
      server->paused_until = ts_max (
          server->paused_until,
          ts_add_ms (now, MIN (notice->pause_ms, SERVERS_PAUSE_MAX_MS)));
      changed = !paused;
    }
  if (notice->leaving && !server->said_leaving)
    {
      server->said_leaving = true;
      server->leaving = true;
      changed = true;
    }
  return changed;
}

bool
servers_is_paused (const struct servers *servers, const char *id,
                   struct timespec now)
{
  const struct server *server = servers_find (servers, id);

  return server != NULL && ts_before (now, server->paused_until);
}

void
servers_replicas_begin (struct servers *servers, struct timespec at)
{
  holders_clear (servers->published);
  servers->published_at = at;
  servers->published_partly = false;
}

void
servers_replicas_update (struct servers *servers, struct timespec at)
{
  servers->published_at = at;
}

bool
servers_replicas_complete (const struct servers *servers)
{
  return !servers->published_partly;
}

void
servers_replicas_add (struct servers *servers,
                      const struct peer_replica *replica)
{
  char *target = servers_target (replica->model, replica->adapter);
  struct holder holder = { .loaded = replica->state == BACKEND_COPY_LOADED };

  if (replica->state == BACKEND_COPY_LOADING)
    holder.ready_at
        = ts_add_ms (servers->published_at, (int64_t)replica->ready_ms);
  holders_put (servers->published, replica->engine, target, &holder);
  g_free (target);
}

void
servers_replicas_remove (struct servers *servers,
                         const struct peer_replica *replica)
{
  char *target = servers_target (replica->model, replica->adapter);

  holders_remove (servers->published, replica->engine, target);
  g_free (target);
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
update_ready_at (const struct holder *holder, struct timespec *ready_at)
{
  if (holder == NULL || ts_is_zero (holder->ready_at))
    return;
  if (ts_is_zero (*ready_at) || ts_before (holder->ready_at, *ready_at))
    *ready_at = holder->ready_at;
}

struct replica_query
{
  const struct servers_query *need;
  const char *target;
  struct timespec now;
  GArray *replicas;
  struct timespec *ready_at;
  struct timespec pause_ends; /* first end of a pause; zero: none */
};

/* Appends SERVER, unless it is paused.  */
static void
append_replica (const struct server *server, struct replica_query *query)
{
  struct route_replica replica
      = { .engine = server->route,
          .slots = server->slots,
          .running = server->running,
          .queued = server->queued,
          .inflight_at_report = server->inflight_at_load,
          .reported_at = server->load_at,
          .pace = pace_lasting (&server->pace, query->now),
          .pace_moment = pace_moment (&server->pace, query->now),
          .pace_events = pace_of_events (&server->pace, query->now),
          .pace_told = server->pace.drift,
          .leaving = server->leaving,
          .adapter_loaded = query->need->adapter != NULL };

  if (!ts_before (query->now, server->paused_until))
    g_array_append_val (query->replicas, replica);
  else if (ts_is_zero (query->pause_ends))
    query->pause_ends = server->paused_until;
  else
    query->pause_ends = ts_min (query->pause_ends, server->paused_until);
}

static bool
published_is_fresh (const struct servers *servers, struct timespec now)
{
  return !ts_is_zero (servers->published_at)
         && ts_before (
             now, ts_add_ms (servers->published_at, SERVERS_REPLICAS_TTL_MS));
}

/* Whether SERVER gets new requests such as NEED.  */
static bool
is_suitable (const struct server *server, const struct servers_query *need)
{
  return !server->leaving && strcmp (server->route->pool, need->service) == 0
         && (need->software == NULL
             || strcmp (server->route->software, need->software) == 0);
}

/* Appends the engines in HOLDERS that have the target of QUERY, without those
   that are in EXCEPT.  */
static void
append_holders (const struct servers *servers, const struct holders *holders,
                const struct holders *except, struct replica_query *query)
{
  GHashTable *engines = holders_of (holders, query->target);
  const struct holder *holder;
  GHashTableIter iter;
  const char *id;

  if (engines == NULL)
    return;
  g_hash_table_iter_init (&iter, engines);
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, (gpointer *)&holder))
    {
      const struct server *server = servers_find (servers, id);

      if (server == NULL || !is_suitable (server, query->need)
          || (except != NULL && holders_has_engine (except, id)))
        continue;
      if (!holder->loaded)
        update_ready_at (holder, query->ready_at);
      else if (!is_missing (server, query->target, query->now))
        append_replica (server, query);
    }
}

/* Updates *READY_AT for MODEL, which is on no engine and which none is loading
   yet.  */
static void
update_expected_ready_at (const struct servers *servers, const char *model,
                          struct timespec *ready_at)
{
  GHashTable *expected = holders_of (servers->published, model);

  if (expected != NULL)
    update_ready_at (g_hash_table_lookup (expected, SERVERS_NO_ENGINE),
                     ready_at);
}

static void
append_servers_of (const struct servers *servers, struct replica_query *query)
{
  GHashTable *set
      = g_hash_table_lookup (servers->by_service, query->need->service);
  const struct server *server;
  GHashTableIter iter;

  if (set == NULL)
    return;
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, (gpointer *)&server, NULL))
    if (is_suitable (server, query->need))
      append_replica (server, query);
}

bool
servers_has_software (const struct servers *servers, const char *service,
                      const char *software)
{
  struct servers_query need = { .service = service, .software = software };
  GHashTable *set = g_hash_table_lookup (servers->by_service, service);
  const struct server *server;
  GHashTableIter iter;

  if (set == NULL)
    return false;
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, (gpointer *)&server, NULL))
    if (is_suitable (server, &need))
      return true;
  return false;
}

void
servers_recall_software (struct servers *servers, const char *service,
                         const char *software, struct timespec now)
{
  versions_recall (servers->versions, service, software, now);
}

bool
servers_remembers_software (const struct servers *servers, const char *service,
                            const char *software, struct timespec now)
{
  return versions_remembers (servers->versions, service, software, now);
}

const char *
servers_sole_software (struct servers *servers, const char *service,
                       struct timespec now)
{
  return versions_sole (servers->versions, service, now);
}

void
servers_replicas (struct servers *servers, const struct servers_query *need,
                  struct timespec now, GArray *replicas,
                  struct timespec *ready_at)
{
  bool fresh = published_is_fresh (servers, now);
  const struct holders *first = fresh ? servers->published : servers->listed;
  const struct holders *second = fresh ? servers->listed : servers->published;
  char *target = need->model != NULL
                     ? servers_target (need->model, need->adapter)
                     : NULL;
  struct replica_query query = { .need = need,
                                 .target = target,
                                 .now = now,
                                 .replicas = replicas,
                                 .ready_at = ready_at };

  *ready_at = (struct timespec){ 0 };
  if (need->model == NULL)
    append_servers_of (servers, &query);
  else
    {
      append_holders (servers, first, NULL, &query);
      append_holders (servers, second, first, &query);
      /* Expected loads may be on servers with any version.  */
      if (fresh && need->software == NULL && replicas->len == 0
          && ts_is_zero (*ready_at))
        update_expected_ready_at (servers, need->model, ready_at);
    }
  if (replicas->len == 0 && !ts_is_zero (query.pause_ends))
    *ready_at = ts_is_zero (*ready_at) ? query.pause_ends
                                       : ts_min (*ready_at, query.pause_ends);
  g_free (target);
}
