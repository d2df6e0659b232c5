#include "listing.h"

#include <string.h>
#include <glib.h>
#include "backoff.h"
#include "badrow.h"
#include "confwatch.h"
#include "core.h"
#include "links.h"
#include "netaddr.h"
#include "log.h"
#include "nodetable.h"
#include "outage.h"
#include "ts.h"

/* Duration of a watch of the servers, and pause between two watches.  Rows
   of servers change all the time and each watch costs a call to the store, but
   a leaving server must be known within 2 s.  */
#define SERVERS_WATCH_MS 600
#define SERVERS_PAUSE_MS 400
/* Time for a configuration from the decider to arrive, before the store is
   queried for it.  */
#define CONFIG_PUSH_WAIT_MS 500
/* Added per node to the range of the random pause before a failed query is
   repeated.  */
#define RETRY_SPREAD_MS_PER_NODE 10
/* A node that starts in a fleet of more nodes than this waits for the
   decider's list, since all of them listing a table of thousands of servers
   would delay the store.  */
#define START_LIST_NODES_MAX 150
#define START_WAIT_MS 2000
/* After a pause, the messages that came during it are read within this time.
 */
#define BACKLOG_MS 250
#define CONFIG_FAULTS_LOGGED_MAX 16 /* of a version */
/* Time for the number of nodes to be known, before the servers are listed.  */
#define START_DELAY_MS 30
/* Between checks of whether the decider's list is still fresh.  */
#define SUSPENDED_CHECK_MS 150
/* The store is called at least this often while it does not answer.  */
#define OUTAGE_RECENT_MS 3000
#define EXPIRE_INTERVAL_MS 250 /* between removals of expired servers */

/* One watched table.  */
struct watched_table
{
  struct listing *listing;
  const char *table;
  int64_t watch_ms;
  int64_t pause_ms;
  struct timespec sent_at; /* of the call in progress */
  int64_t wait_ms;         /* of it; 0: a list */
  void (*receive) (struct listing *listing,
                   const struct platform_changes *changes, bool complete);
  bool listed;  /* VERSION is valid: it may be watched */
  bool pending; /* a list or watch is in progress */
  bool relist;  /* list it next, do not continue the watch */
  bool stale;   /* the result of the call in progress is ignored */
  uint64_t version;
  unsigned failures;
  struct loop_timer timer;
};

struct listing
{
  struct service service; /* first */
  const struct catalog *catalog;
  struct core *core;
  struct links *links;
  struct site *site;
  char *config; /* text that SITE was parsed from */
  bool config_from_peer;
  struct timespec config_at; /* when SITE was put in force */
  struct confwatch confwatch;
  struct servers *servers;
  bool first_list; /* no server was known before the list being applied */
  struct watched_table config_table;
  struct watched_table servers_table;
  struct loop_timer expire;
  struct nodetable nodes;
  struct timespec listed_at;      /* last list or watch of the servers */
  struct timespec peer_listed_at; /* the same at the decider, as published */
  uint64_t peer_list_version;     /* of the decider's list; 0: unknown */
  GHashTable *peer_servers;       /* ids in the list that is being received */
  bool publishing;                /* this node decides */
  /* SERVERS is the decider's list, as of its last message.  */
  bool peer_list_applied;
  struct timespec start_wait_until;
  struct outage outage;
  bool restored; /* COPY_VERSION is not known yet */
  /* Rows up to this version may be from the copy that the store was restored
     from; 0: it was not.  */
  uint64_t copy_version;
};

static struct timespec
listing_now (const struct listing *listing)
{
  return loop_now (listing->core->loop);
}

/* The configuration.  */

static void
apply_config (struct listing *listing, struct site *site, const char *config)
{
  struct log_line line;

  site_unref (listing->site);
  g_free (listing->config);
  listing->site = site;
  listing->config = g_strdup (config);
  listing->config_at = listing_now (listing);
  log_begin (&line, EVENT_CONFIG_IN_FORCE);
  log_int (&line, "version", (int64_t)site->version);
  log_str (&line, "source", listing->config_from_peer ? "peer" : "store");
  log_int (&line, "told_ms", listing_peer_config_age_ms (listing));
  log_int (&line, "routes", site->routes->len);
  log_int (&line, "services", site->services->len);
  log_end (&line);
  links_set_doc_version (listing->links, site->version);
  kernel_post (listing->core->kernel, KERNEL_SITE_CHANGED, site);
}

static void
log_config_faults (uint64_t version, const struct findings *findings)
{
  const struct finding *finding;
  unsigned logged = 0;

  CK_STAILQ_FOREACH (finding, &findings->list, link)
    {
      struct log_line line;

      if (logged++ == CONFIG_FAULTS_LOGGED_MAX)
        return;
      log_begin (&line, EVENT_CONFIG_FAULT);
      log_int (&line, "version", (int64_t)version);
      log_str (&line, "place", finding->place);
      log_str (&line, "why", finding->text);
      log_int (&line, "faults", (int64_t)findings->count);
      log_end (&line);
    }
}

static void
apply_newer_config (struct listing *listing, const char *config,
                    bool from_peer)
{
  const struct catalog *catalog = listing->catalog;
  struct findings findings;
  struct site *site = NULL;

  findings_init (&findings);
  if (catalog->ops->site (catalog, config, &site, &findings) < 0)
    {
      const struct finding *first = CK_STAILQ_FIRST (&findings.list);

      badrow_log (catalog->config_table, catalog->config_key,
                  first != NULL ? first->text : "unreadable");
    }
  else if (listing->site != NULL && site->version <= listing->site->version)
    site_unref (site);
  else
    {
      listing->config_from_peer = from_peer;
      log_config_faults (site->version, &findings);
      apply_config (listing, site, config);
    }
  findings_clear (&findings);
}

void
listing_apply_config (struct listing *listing, const char *config)
{
  apply_newer_config (listing, config, true);
}

bool
listing_config_from_peer (const struct listing *listing)
{
  return listing->config_from_peer;
}

static int64_t
since_ms (const struct listing *listing, struct timespec at)
{
  if (ts_is_zero (at))
    return -1;
  return ts_to_ms (ts_sub (listing_now (listing), at));
}

int64_t
listing_config_in_force_ms (const struct listing *listing)
{
  return since_ms (listing, listing->config_at);
}

int64_t
listing_config_read_ms (const struct listing *listing)
{
  return since_ms (listing, listing->confwatch.known_at);
}

bool
listing_config_is_current (const struct listing *listing, int64_t within_ms)
{
  return listing->site != NULL
         && confwatch_is_current (&listing->confwatch, listing->site->version,
                                  within_ms, listing_now (listing));
}

bool
listing_config_is_outdated (const struct listing *listing, int64_t within_ms)
{
  return listing->site != NULL
         && confwatch_is_outdated (
             &listing->confwatch, listing->site->version, within_ms,
             loop_woke_at (listing->core->loop), listing_now (listing));
}

static void
receive_config (struct listing *listing,
                const struct platform_changes *changes, bool complete)
{
  (void)complete;
  for (size_t i = 0; i < changes->count; i++)
    if (changes->rows[i].value != NULL
        && strcmp (changes->rows[i].key, listing->catalog->config_key) == 0)
      apply_newer_config (listing, changes->rows[i].value, false);
}

/* Backend servers.  */

static void
log_server (const struct listing *listing, const struct server_entry *entry)
{
  struct log_line line;

  if (listing->first_list)
    return;
  log_begin (&line, EVENT_SERVER_LISTED);
  log_str (&line, "engine", entry->id);
  log_str (&line, "service", entry->service);
  log_str (&line, "address", entry->address);
  log_str (&line, "zone", entry->zone);
  log_str (&line, "software", entry->software);
  log_int (&line, "leaving", entry->leaving);
  if (entry->inventory != NULL)
    {
      log_int (&line, "born", entry->inventory->born);
      log_int (&line, "sequence", (int64_t)entry->inventory->sequence);
    }
  log_end (&line);
}

/* The first list is logged as a whole.  */
static void
begin_list (struct listing *listing)
{
  listing->first_list
      = g_hash_table_size (servers_all (listing->servers)) == 0;
}

static void
end_list (struct listing *listing)
{
  guint count = g_hash_table_size (servers_all (listing->servers));
  struct log_line line;

  if (!listing->first_list || count == 0)
    return;
  listing->first_list = false;
  log_begin (&line, EVENT_SERVERS_LISTED);
  log_int (&line, "count", count);
  log_end (&line);
}

static bool
update_server (struct listing *listing, const struct platform_row *row)
{
  const struct catalog *catalog = listing->catalog;
  struct server_entry entry = { 0 };
  const char *why = "";
  bool changed;

  if (catalog->ops->server (catalog, row->key, row->value, &entry, &why) < 0)
    {
      badrow_log (catalog->servers_table, row->key, why);
      return false;
    }
  if (row->version <= listing->copy_version
      && servers_is_outdated (listing->servers, &entry))
    {
      server_entry_clear (&entry);
      return false;
    }
  changed = servers_put (listing->servers, &entry);
  if (changed)
    log_server (listing, &entry);
  entry.leaving = servers_find (listing->servers, entry.id)->leaving;
  kernel_post (listing->core->kernel, KERNEL_SERVER_LISTED, &entry);
  server_entry_clear (&entry);
  return changed;
}

/* The server ID is not in the list of SOURCE, made at MADE_AT, and is removed
   at REMOVED_AT.  */
static void
drop_server (struct listing *listing, const char *id, const char *source,
             struct timespec made_at, struct timespec removed_at)
{
  const struct server *server = servers_find (listing->servers, id);
  struct timespec now = listing_now (listing);
  struct log_line line;

  if (server == NULL
      || (!ts_is_zero (server->drop_at)
          && !ts_before (removed_at, server->drop_at)))
    return;
  log_begin (&line, EVENT_SERVER_DROPPED);
  log_str (&line, "engine", id);
  log_str (&line, "source", source);
  log_int (&line, "age_ms", ts_to_ms (ts_sub (now, made_at)));
  log_int (&line, "kept_ms", ts_to_ms (ts_sub (removed_at, now)));
  log_end (&line);
  servers_drop (listing->servers, id, removed_at);
}

static void
drop_unregistered (struct listing *listing, const char *id)
{
  drop_server (listing, id, "store", listing->listed_at,
               outage_removal_time (&listing->outage, listing_now (listing)));
}

static void
drop_unpublished (struct listing *listing, const char *id)
{
  drop_server (listing, id, "peer", listing->peer_listed_at,
               listing_now (listing));
}

static bool
is_listed (const struct platform_changes *changes, const char *id)
{
  for (size_t i = 0; i < changes->count; i++)
    if (strcmp (changes->rows[i].key, id) == 0)
      return true;
  return false;
}

static void
drop_unlisted (struct listing *listing, const struct platform_changes *changes)
{
  GHashTableIter iter;
  const char *id;

  g_hash_table_iter_init (&iter, servers_all (listing->servers));
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, NULL))
    if (!is_listed (changes, id))
      drop_unregistered (listing, id);
}

static void
expire_servers (struct listing *listing)
{
  GHashTableIter iter;
  const char *id;
  const struct server *server;

  g_hash_table_iter_init (&iter, servers_all (listing->servers));
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, (gpointer *)&server))
    if (!ts_is_zero (server->drop_at)
        && !ts_before (listing_now (listing), server->drop_at))
      kernel_post (listing->core->kernel, KERNEL_SERVER_REMOVED, id);
  if (servers_expire (listing->servers, listing_now (listing)))
    kernel_post (listing->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
}

static void
receive_servers (struct listing *listing,
                 const struct platform_changes *changes, bool complete)
{
  bool changed = false;

  listing->peer_list_applied = false;
  if (complete && listing->restored)
    {
      listing->restored = false;
      listing->copy_version = changes->version;
    }
  begin_list (listing);
  for (size_t i = 0; i < changes->count; i++)
    if (changes->rows[i].value == NULL)
      drop_unregistered (listing, changes->rows[i].key);
    else
      changed = update_server (listing, &changes->rows[i]) || changed;
  if (complete)
    drop_unlisted (listing, changes);
  end_list (listing);
  expire_servers (listing);
  if (changed)
    kernel_post (listing->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
}

static void
on_expire (struct loop_timer *timer)
{
  struct listing *listing
      = (struct listing *)((char *)timer - offsetof (struct listing, expire));

  expire_servers (listing);
  loop_timer_set (listing->core->loop, timer,
                  ts_add_ms (listing_now (listing), EXPIRE_INTERVAL_MS));
}

static void
log_pause (const char *id, int64_t pause_ms)
{
  struct log_line line;

  log_begin (&line, EVENT_SERVER_PAUSE);
  log_str (&line, "engine", id);
  log_int (&line, "pause_ms", pause_ms);
  log_end (&line);
}

/* Tells the planners, whose engines follow the listed entries, and the waiting
   requests.  */
static void
post_leaving (struct listing *listing, const struct server *server)
{
  struct server_entry entry = { .id = server->route->id,
                                .address = server->route->address,
                                .zone = server->route->zone,
                                .service = server->route->pool,
                                .slots = server->slots,
                                .leaving = true,
                                .born = server->born,
                                .inventory = server->inventory };
  struct log_line line;

  log_begin (&line, EVENT_SERVER_LEAVING);
  log_str (&line, "engine", server->route->id);
  log_end (&line);
  kernel_post (listing->core->kernel, KERNEL_SERVER_LISTED, &entry);
  kernel_post (listing->core->kernel, KERNEL_SERVERS_CHANGED, NULL);
}

void
listing_server_notice (struct listing *listing, const char *id,
                       const struct backend_notice *notice)
{
  if (!servers_report_notice (listing->servers, id, notice,
                              listing_now (listing)))
    return;
  if (notice->pause_ms > 0)
    log_pause (id, notice->pause_ms);
  if (notice->leaving)
    post_leaving (listing, servers_find (listing->servers, id));
}

/* Watched tables.  */

/* The whole fleet retries at a bounded rate.  After the first call without an
   answer perhaps only its connection is dead.  */
static struct timespec
retry_at (const struct watched_table *watched, enum platform_status status,
          struct timespec now)
{
  struct listing *listing = watched->listing;
  struct timespec at = now;
  size_t nodes;

  if (status != PLATFORM_UNKNOWN || watched->failures > 0)
    at = backoff_retry_at (MIN (watched->failures, 1), listing->core->rand,
                           now);
  links_members (listing->links, &nodes);
  return ts_add_ms (
      at, g_rand_int_range (listing->core->rand, 0,
                            (gint32)nodes * RETRY_SPREAD_MS_PER_NODE + 1));
}

/* Whether this node stood still during the call, so that it may have failed
   for that.  */
static bool
was_paused (const struct watched_table *watched)
{
  return ts_before (watched->sent_at,
                    loop_woke_at (watched->listing->core->loop));
}

static void
on_query_failed (struct watched_table *watched, enum platform_status status)
{
  struct listing *listing = watched->listing;
  struct timespec now = listing_now (listing);

  if (status == PLATFORM_COMPACTED)
    {
      watched->listed = false;
      listing->peer_list_version = 0;
      loop_timer_set (listing->core->loop, &watched->timer, now);
      return;
    }
  if (!was_paused (watched))
    outage_failed (&listing->outage, now);
  loop_timer_set (listing->core->loop, &watched->timer,
                  retry_at (watched, status, now));
  watched->failures++;
}

static void
query_now (struct watched_table *watched)
{
  struct loop *loop = watched->listing->core->loop;

  if (!watched->pending)
    loop_timer_set (loop, &watched->timer, loop_now (loop));
}

static void
on_changes (void *user, enum platform_status status,
            const struct platform_changes *changes)
{
  struct watched_table *watched = user;
  struct listing *listing = watched->listing;
  bool complete = !watched->listed;
  bool stale = watched->stale;
  struct timespec made_at = confwatch_made_at (
      watched->sent_at, watched->wait_ms, listing_now (listing));

  watched->pending = false;
  watched->stale = false;
  if (status != PLATFORM_OK)
    {
      on_query_failed (watched, status);
      return;
    }
  if (stale)
    {
      query_now (watched);
      return;
    }
  outage_answered (&listing->outage, listing_now (listing));
  watched->failures = 0;
  watched->listed = true;
  watched->version = changes->version;
  if (watched == &listing->servers_table)
    listing->listed_at = made_at;
  else
    confwatch_answered (&listing->confwatch, made_at);
  watched->receive (listing, changes, complete);
  loop_timer_set (listing->core->loop, &watched->timer,
                  ts_add_ms (listing_now (listing),
                             watched->relist ? 0 : watched->pause_ms));
}

/* Whether the list published by the decider is fresh, so that the store need
   not be queried.  */
static bool
peer_list_is_fresh (const struct listing *listing)
{
  return !ts_is_zero (listing->peer_listed_at)
         && ts_before (
             listing_now (listing),
             ts_add_ms (listing->peer_listed_at, LISTING_PEER_LIST_TTL_MS));
}

/* Whether queries of the table are suspended, because what the decider sends
   replaces them.  In a large fleet that includes new configurations.  */
static bool
is_suspended (const struct watched_table *watched)
{
  const struct listing *listing = watched->listing;
  uint64_t version = listing->site != NULL ? listing->site->version : 0;
  int64_t push_ms
      = links_has_relays (listing->links) ? CONFIG_PUSH_WAIT_MS : 0;

  if (watched != &listing->config_table)
    return peer_list_is_fresh (listing);
  return confwatch_relies (&listing->confwatch, version, push_ms,
                           listing_now (listing));
}

/* When to check again whether queries of the table are suspended.  */
static struct timespec
suspended_check_at (const struct watched_table *watched)
{
  const struct listing *listing = watched->listing;
  struct timespec at = ts_add_ms (listing_now (listing), SUSPENDED_CHECK_MS);

  if (watched != &listing->config_table)
    return at;
  return ts_min (at, confwatch_expires_at (&listing->confwatch));
}

static int64_t
watch_duration_ms (const struct watched_table *watched)
{
  const struct listing *listing = watched->listing;

  if (watched == &listing->config_table && !listing->publishing
      && links_has_relays (listing->links))
    return CONFWATCH_WAIT_LARGE_MS;
  return watched->watch_ms;
}

/* Whether this node of a large fleet has just started and leaves it to the
   decider to read the list of servers.  */
static bool
is_start_wait (const struct watched_table *watched)
{
  const struct listing *listing = watched->listing;

  return watched == &listing->servers_table && !watched->listed
         && ts_is_zero (listing->listed_at)
         && listing->nodes.count > START_LIST_NODES_MAX
         && ts_before (listing_now (listing), listing->start_wait_until);
}

/* Lets the watch of the servers go on where the decider's list ended.  */
static void
continue_peer_list (struct watched_table *watched)
{
  struct listing *listing = watched->listing;

  if (watched != &listing->servers_table || watched->listed || watched->relist
      || !listing->peer_list_applied || listing->peer_list_version == 0)
    return;
  watched->listed = true;
  watched->version = listing->peer_list_version;
}

static void
query_table (struct loop_timer *timer)
{
  struct watched_table *watched
      = (struct watched_table *)((char *)timer
                                 - offsetof (struct watched_table, timer));
  struct loop *loop = watched->listing->core->loop;
  struct platform *platform = watched->listing->core->platform;
  struct platform_changes_cb cb = { .done = on_changes, .user = watched };

  if (is_suspended (watched))
    {
      watched->listed = false;
      watched->failures = 0;
      loop_timer_set (loop, timer, suspended_check_at (watched));
      return;
    }
  if (is_start_wait (watched))
    {
      loop_timer_set (loop, timer,
                      ts_add_ms (loop_now (loop), SUSPENDED_CHECK_MS));
      return;
    }
  continue_peer_list (watched);
  if (watched->relist)
    watched->listed = false;
  watched->relist = false;
  watched->pending = true;
  watched->sent_at = loop_now (loop);
  watched->wait_ms = watched->listed ? watch_duration_ms (watched) : 0;
  if (watched->listed)
    platform->ops->watch (platform, watched->table, watched->version,
                          watched->wait_ms, cb);
  else
    platform->ops->list (platform, watched->table, cb);
}

static void
start_watching (struct watched_table *watched, int64_t delay_ms)
{
  struct loop *loop = watched->listing->core->loop;

  watched->timer.fire = query_table;
  loop_timer_set (loop, &watched->timer,
                  ts_add_ms (loop_now (loop), delay_ms));
}

/* The list published by the decider.  */

/* When the list of servers was made.  */
static struct timespec
made_at (const struct listing *listing)
{
  return ts_max (listing->listed_at, listing->peer_listed_at);
}

int64_t
listing_age_ms (const struct listing *listing)
{
  return ts_to_ms (ts_sub (listing_now (listing), made_at (listing)));
}

bool
listing_is_complete (const struct listing *listing, struct timespec since)
{
  return !ts_before (made_at (listing), since);
}

bool
listing_store_is_away (const struct listing *listing)
{
  return !ts_is_zero (listing->outage.failed_at)
         && ts_before (
             listing_now (listing),
             ts_add_ms (listing->outage.failed_at, OUTAGE_RECENT_MS));
}

int64_t
listing_config_age_ms (const struct listing *listing)
{
  return confwatch_age_ms (&listing->confwatch, listing_now (listing));
}

int64_t
listing_peer_age_ms (const struct listing *listing)
{
  return ts_to_ms (ts_sub (listing_now (listing), listing->peer_listed_at));
}

int64_t
listing_peer_config_age_ms (const struct listing *listing)
{
  return confwatch_told_age_ms (&listing->confwatch, listing_now (listing));
}

void
listing_start_publishing (struct listing *listing)
{
  listing->publishing = true;
  confwatch_forget (&listing->confwatch);
  listing->peer_listed_at = (struct timespec){ 0 };
  listing->start_wait_until = (struct timespec){ 0 };
  listing->servers_table.relist = true;
  query_now (&listing->config_table);
  query_now (&listing->servers_table);
}

void
listing_stop_publishing (struct listing *listing)
{
  listing->publishing = false;
}

/* Whether words of the decider that are read now may have waited while this
   node stood still.  Their age does not contain that time.  */
static bool
may_have_waited (const struct listing *listing)
{
  struct timespec woke_at = loop_woke_at (listing->core->loop);

  return !ts_is_zero (woke_at)
         && ts_before (listing_now (listing), ts_add_ms (woke_at, BACKLOG_MS));
}

/* Queries the store once for a version that is told for the first time.  The
   timer of the table repeats that at its own pace.  */
static void
set_peer_info (struct listing *listing, const struct listing_peer_info *info)
{
  struct timespec now = listing_now (listing);
  int64_t config_age_ms = may_have_waited (listing) ? 0 : info->config_age_ms;

  listing->peer_listed_at = ts_add_ms (now, -info->age_ms);
  /* After the store was restored, versions of former eras mean nothing.  */
  listing->peer_list_version = info->list_era == listing->core->platform->era
                                   ? info->list_version
                                   : 0;
  if (confwatch_told (&listing->confwatch, info->config_version, config_age_ms,
                      now)
      && !is_suspended (&listing->config_table))
    query_now (&listing->config_table);
}

void
listing_peer_list_begin (struct listing *listing,
                         const struct listing_peer_info *info)
{
  set_peer_info (listing, info);
  begin_list (listing);
  g_hash_table_remove_all (listing->peer_servers);
}

/* Whether the decider's list applies.  A newer list from the store, also one
   being queried, takes precedence.  */
static bool
peer_list_applies (const struct listing *listing)
{
  return peer_list_is_fresh (listing) && !listing->servers_table.pending
         && ts_before (listing->listed_at, listing->peer_listed_at);
}

/* A server that the decider only keeps is neither new nor back.  */
void
listing_peer_list_add (struct listing *listing,
                       const struct peer_replica *server)
{
  struct server_entry entry = { .id = server->engine,
                                .address = server->address,
                                .zone = server->zone,
                                .service = server->pool,
                                .software = server->version,
                                .slots = (unsigned)server->slots,
                                .leaving = server->leaving,
                                .born = (int64_t)server->born };

  g_hash_table_add (listing->peer_servers, g_strdup (server->engine));
  if (!peer_list_applies (listing) || entry.address == NULL
      || entry.service == NULL || !netaddr_is_server (entry.address)
      || server->kept)
    return;
  if (entry.zone == NULL)
    entry.zone = (char *)"";
  if (servers_put (listing->servers, &entry))
    log_server (listing, &entry);
}

bool
listing_peer_list_update (struct listing *listing,
                          const struct listing_peer_info *info)
{
  set_peer_info (listing, info);
  return listing->peer_list_applied && peer_list_applies (listing);
}

void
listing_peer_list_remove (struct listing *listing, const char *id)
{
  drop_unpublished (listing, id);
  expire_servers (listing);
}

void
listing_peer_list_end (struct listing *listing)
{
  GHashTableIter iter;
  const char *id;

  end_list (listing);
  listing->peer_list_applied = peer_list_applies (listing);
  if (listing->peer_list_applied)
    {
      g_hash_table_iter_init (&iter, servers_all (listing->servers));
      while (g_hash_table_iter_next (&iter, (gpointer *)&id, NULL))
        if (!g_hash_table_contains (listing->peer_servers, id))
          drop_unpublished (listing, id);
      expire_servers (listing);
    }
}

/* The service.  */

static void
read_anew (struct watched_table *watched)
{
  watched->relist = true;
  watched->stale = watched->pending;
  query_now (watched);
}

/* Versions of the rows have no meaning any more.  Servers are missing until
   they register again, as after an outage, and rows of servers may be older
   than what is known.  */
static void
on_store_restored (struct listing *listing)
{
  outage_entries_lost (&listing->outage, listing_now (listing));
  listing->restored = true;
  listing->copy_version = 0;
  listing->peer_list_version = 0;
  servers_list_restored (listing->servers);
  read_anew (&listing->config_table);
  read_anew (&listing->servers_table);
  nodetable_register_again (&listing->nodes);
}

static void
listing_event (struct service *service, const struct kernel_event *event)
{
  struct listing *listing = (struct listing *)service;

  if (event->type == KERNEL_DRAIN_STARTED)
    nodetable_unregister (&listing->nodes);
  else if (event->type == KERNEL_STORE_RESTORED)
    on_store_restored (listing);
  else if (event->type == KERNEL_PEER_CONNECTED)
    links_add_member (listing->links, event->data);
}

static int
listing_start (struct service *service, struct kernel *kernel)
{
  struct listing *listing = (struct listing *)service;

  listing->core = core_find (kernel);
  listing->outage.heartbeat_ms = listing->core->settings->heartbeat_ms;
  listing->links = links_find (kernel);
  start_watching (&listing->config_table, 0);
  start_watching (&listing->servers_table, START_DELAY_MS);
  listing->start_wait_until = ts_add_ms (listing_now (listing), START_WAIT_MS);
  listing->expire.fire = on_expire;
  loop_timer_set (listing->core->loop, &listing->expire,
                  listing_now (listing));
  nodetable_start (&listing->nodes, listing->core, listing->links);
  return 0;
}

static void
listing_stop (struct service *service)
{
  struct listing *listing = (struct listing *)service;
  struct loop *loop = listing->core->loop;

  loop_timer_clear (loop, &listing->config_table.timer);
  loop_timer_clear (loop, &listing->servers_table.timer);
  loop_timer_clear (loop, &listing->expire);
  nodetable_stop (&listing->nodes);
}

static const struct service_ops listing_ops
    = { listing_start, listing_stop, listing_event };

struct service *
listing_new (const struct listing_options *options)
{
  struct listing *listing = g_new0 (struct listing, 1);

  listing->service.ops = &listing_ops;
  listing->service.name = LISTING_NAME;
  listing->catalog = options->catalog;
  listing->servers = servers_new ();
  listing->peer_servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  listing->config_table
      = (struct watched_table){ .listing = listing,
                                .table = options->catalog->config_table,
                                .watch_ms = CONFWATCH_WAIT_MS,
                                .pause_ms = CONFWATCH_PAUSE_MS,
                                .receive = receive_config };
  listing->servers_table
      = (struct watched_table){ .listing = listing,
                                .table = options->catalog->servers_table,
                                .watch_ms = SERVERS_WATCH_MS,
                                .pause_ms = SERVERS_PAUSE_MS,
                                .receive = receive_servers };
  return &listing->service;
}

void
listing_free (struct service *service)
{
  struct listing *listing = (struct listing *)service;

  if (listing == NULL)
    return;
  site_unref (listing->site);
  g_free (listing->config);
  servers_free (listing->servers);
  g_hash_table_unref (listing->peer_servers);
  g_free (listing);
}

struct listing *
listing_find (struct kernel *kernel)
{
  return (struct listing *)kernel_find (kernel, LISTING_NAME);
}

struct site *
listing_site (const struct listing *listing)
{
  return listing->site;
}

const char *
listing_config (const struct listing *listing)
{
  return listing->config;
}

uint64_t
listing_version (const struct listing *listing)
{
  return listing->servers_table.listed ? listing->servers_table.version : 0;
}

const GPtrArray *
listing_nodes (const struct listing *listing)
{
  return listing->nodes.names;
}

struct servers *
listing_servers (const struct listing *listing)
{
  return listing->servers;
}
