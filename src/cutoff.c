#include "cutoff.h"

#include <glib.h>
#include "ts.h"

struct server
{
  struct timespec heard_at;    /* zero: not yet */
  struct timespec failed_from; /* first failure since; zero: none */
  struct timespec failed_last; /* latest one */
  struct timespec told_at;     /* zero: never */
  struct timespec told_since;  /* first since the failure that can't be of
                                  before; zero: none */
  struct timespec probed_at;
};

struct cutoff
{
  GHashTable *servers; /* id to struct server */
  unsigned in_flight;
  struct timespec quiet_from;      /* no server has been heard since, while
                                      requests were in flight */
  struct timespec quiet_probed_at; /* last probe for that alone */
  unsigned failing;                /* servers with a failure */
  bool told;                       /* another node has told of some server */
};

struct cutoff *
cutoff_new (void)
{
  struct cutoff *cutoff = g_new0 (struct cutoff, 1);

  cutoff->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return cutoff;
}

void
cutoff_free (struct cutoff *cutoff)
{
  if (cutoff == NULL)
    return;
  g_hash_table_unref (cutoff->servers);
  g_free (cutoff);
}

static struct server *
get_server (struct cutoff *cutoff, const char *id)
{
  struct server *server = g_hash_table_lookup (cutoff->servers, id);

  if (server == NULL)
    {
      server = g_new0 (struct server, 1);
      g_hash_table_insert (cutoff->servers, g_strdup (id), server);
    }
  return server;
}

static void
clear_failure (struct cutoff *cutoff, struct server *server)
{
  cutoff->failing -= !ts_is_zero (server->failed_from);
  server->failed_from = (struct timespec){ 0 };
  server->told_since = (struct timespec){ 0 };
}

void
cutoff_begin (struct cutoff *cutoff, struct timespec now)
{
  if (cutoff->in_flight++ == 0)
    cutoff->quiet_from = now;
}

void
cutoff_end (struct cutoff *cutoff)
{
  cutoff->in_flight--;
}

void
cutoff_heard (struct cutoff *cutoff, const char *id, struct timespec now)
{
  struct server *server = get_server (cutoff, id);

  server->heard_at = now;
  cutoff->quiet_from = now;
  clear_failure (cutoff, server);
}

void
cutoff_failed (struct cutoff *cutoff, const char *id, struct timespec began_at)
{
  struct server *server = get_server (cutoff, id);

  server->failed_last = began_at;
  if (!ts_is_zero (server->failed_from))
    return;
  server->failed_from = began_at;
  cutoff->failing++;
}

void
cutoff_told (struct cutoff *cutoff, const char *id, struct timespec now)
{
  struct server *server = get_server (cutoff, id);

  server->told_at = now;
  cutoff->told = true;
  if (!ts_is_zero (server->failed_from) && ts_is_zero (server->told_since)
      && !ts_before (now,
                     ts_add_ms (server->failed_from, CUTOFF_TOLD_DELAY_MS)))
    server->told_since = now;
}

void
cutoff_forget (struct cutoff *cutoff, const char *id)
{
  struct server *server = g_hash_table_lookup (cutoff->servers, id);

  if (server == NULL)
    return;
  clear_failure (cutoff, server);
  g_hash_table_remove (cutoff->servers, id);
}

static bool
has_passed (struct timespec at, int64_t ms, struct timespec now)
{
  return ts_is_zero (at) || !ts_before (now, ts_add_ms (at, ms));
}

static bool
is_cut_off (const struct server *server, struct timespec now)
{
  return !ts_is_zero (server->told_since)
         && !ts_before (server->told_at,
                        ts_add_ms (server->told_since, CUTOFF_TOLD_AGAIN_MS))
         && ts_before (now, ts_add_ms (server->told_at, CUTOFF_TOLD_TTL_MS));
}

bool
cutoff_server (const struct cutoff *cutoff, const char *id,
               struct timespec now)
{
  const struct server *server = g_hash_table_lookup (cutoff->servers, id);

  return server != NULL && is_cut_off (server, now);
}

/* Whether SERVER has failed and no server was heard since.  */
static bool
failed_in_silence (const struct cutoff *cutoff, const struct server *server)
{
  return !ts_is_zero (server->failed_from)
         && !ts_before (server->failed_last, cutoff->quiet_from);
}

bool
cutoff_all (const struct cutoff *cutoff, struct timespec now)
{
  GHashTableIter iter;
  const struct server *server;
  unsigned cut_off = 0;
  unsigned failed = 0;

  if (cutoff->failing == 0
      || !has_passed (cutoff->quiet_from, CUTOFF_QUIET_MS, now))
    return false;
  g_hash_table_iter_init (&iter, cutoff->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    if (failed_in_silence (cutoff, server))
      {
        failed++;
        cut_off += is_cut_off (server, now);
      }
  if (!cutoff->told)
    return failed >= CUTOFF_SERVERS_UNTOLD;
  return cut_off >= MIN (CUTOFF_SERVERS, g_hash_table_size (cutoff->servers));
}

static bool
is_quiet (const struct cutoff *cutoff, struct timespec now)
{
  return cutoff->in_flight > 0
         && has_passed (cutoff->quiet_from, CUTOFF_QUIET_MS, now);
}

static bool
any_cut_off (const struct cutoff *cutoff, struct timespec now)
{
  const struct server *server;
  GHashTableIter iter;

  if (cutoff->failing == 0)
    return false;
  g_hash_table_iter_init (&iter, cutoff->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    if (is_cut_off (server, now))
      return true;
  return false;
}

bool
cutoff_suspected (const struct cutoff *cutoff, struct timespec now)
{
  return cutoff->failing > 0
         && (is_quiet (cutoff, now) || any_cut_off (cutoff, now));
}

bool
cutoff_watches (const struct cutoff *cutoff)
{
  return cutoff->in_flight > 0 || cutoff->failing > 0;
}

/* Whether SERVER was heard of by another node lately.  Without other nodes'
   word any server will do.  */
static bool
is_live (const struct cutoff *cutoff, const struct server *server,
         struct timespec now)
{
  return !cutoff->told
         || (!ts_is_zero (server->told_at)
             && !has_passed (server->told_at, CUTOFF_TOLD_DELAY_MS, now));
}

static bool
is_candidate (const struct cutoff *cutoff, const struct server *server,
              bool suspicious, struct timespec now)
{
  int64_t interval_ms = is_cut_off (server, now) ? CUTOFF_CUT_INTERVAL_MS
                                                 : CUTOFF_DOWN_INTERVAL_MS;

  if (!ts_is_zero (server->failed_from))
    return has_passed (server->probed_at, interval_ms, now);
  return suspicious && is_live (cutoff, server, now)
         && has_passed (server->heard_at, CUTOFF_QUIET_MS, now)
         && has_passed (server->probed_at, CUTOFF_CUT_INTERVAL_MS, now);
}

/* The candidate that was probed longest ago.  */
static struct server *
next_candidate (const struct cutoff *cutoff, bool suspicious,
                struct timespec now, const char **id)
{
  struct server *best = NULL;
  struct server *server;
  const char *key;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, cutoff->servers);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, (gpointer *)&server))
    if (is_candidate (cutoff, server, suspicious, now)
        && (best == NULL || ts_before (server->probed_at, best->probed_at)))
      {
        best = server;
        *id = key;
      }
  return best;
}

/* While no server fails, silence alone is probed less often: it is usual when
   few requests are in flight.  */
static bool
may_probe_quiet (const struct cutoff *cutoff, struct timespec now)
{
  return is_quiet (cutoff, now)
         && (cutoff->failing > 0
             || has_passed (cutoff->quiet_probed_at, CUTOFF_QUIET_INTERVAL_MS,
                            now));
}

size_t
cutoff_probe (struct cutoff *cutoff, struct timespec now, const char **servers)
{
  bool quiet = may_probe_quiet (cutoff, now);
  bool suspicious = quiet || any_cut_off (cutoff, now);
  size_t max = cutoff->failing > 0 ? CUTOFF_PROBES : 1;
  size_t count = 0;

  if (cutoff->failing == 0 && !quiet)
    return 0;
  if (quiet)
    cutoff->quiet_probed_at = now;
  while (count < max)
    {
      struct server *server
          = next_candidate (cutoff, suspicious, now, &servers[count]);

      if (server == NULL)
        break;
      server->probed_at = now;
      count++;
    }
  return count;
}
