#include "reach.h"

#include <glib.h>
#include "ts.h"

#define MEAN_WEIGHT 0.1 /* of a new sample in the moving average */

struct server
{
  struct timespec used_at;
  struct timespec backoff_until;  /* zero: not backing off */
  struct timespec new_only_until; /* no reused connections until then */
  int64_t backoff_ms;             /* duration of the last backoff */
  struct timespec heard_at;       /* zero: no bytes yet */
  double first_byte_ms;           /* moving average; 0: not known */
};

struct reach
{
  GHashTable *servers; /* engine id to struct server, owned */
};

struct reach *
reach_new (void)
{
  struct reach *reach = g_new0 (struct reach, 1);

  reach->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return reach;
}

void
reach_free (struct reach *reach)
{
  if (reach == NULL)
    return;
  g_hash_table_unref (reach->servers);
  g_free (reach);
}

static struct server *
get_server (struct reach *reach, const char *engine, struct timespec now)
{
  struct server *server = g_hash_table_lookup (reach->servers, engine);

  if (server == NULL)
    {
      server = g_new0 (struct server, 1);
      g_hash_table_insert (reach->servers, g_strdup (engine), server);
    }
  server->used_at = now;
  return server;
}

void
reach_answered (struct reach *reach, const char *engine,
                struct timespec first_byte, struct timespec now)
{
  struct server *server = get_server (reach, engine, now);
  double ms = ts_to_s (first_byte) * (double)TS_MS_PER_S;

  server->backoff_until = (struct timespec){ 0 };
  server->backoff_ms = 0;
  server->first_byte_ms
      = server->first_byte_ms > 0
            ? server->first_byte_ms * (1 - MEAN_WEIGHT) + ms * MEAN_WEIGHT
            : ms;
}

static void
start_backoff (struct server *server, struct timespec now)
{
  server->backoff_until = ts_add_ms (now, server->backoff_ms);
}

void
reach_connect_failed (struct reach *reach, const char *engine,
                      struct timespec now)
{
  struct server *server = get_server (reach, engine, now);
  bool backing_off = ts_before (now, server->backoff_until);

  if (server->backoff_ms == 0)
    server->backoff_ms = REACH_BACKOFF_MIN_MS;
  else if (!backing_off)
    server->backoff_ms = MIN (server->backoff_ms * 2, REACH_BACKOFF_MAX_MS);
  start_backoff (server, now);
}

void
reach_stalled (struct reach *reach, const char *engine, struct timespec now)
{
  get_server (reach, engine, now)->new_only_until
      = ts_add_ms (now, REACH_STALL_MS);
}

void
reach_heard (struct reach *reach, const char *engine, struct timespec now)
{
  get_server (reach, engine, now)->heard_at = now;
}

bool
reach_heard_after (const struct reach *reach, const char *engine,
                   struct timespec since)
{
  const struct server *server = g_hash_table_lookup (reach->servers, engine);

  return server != NULL && ts_before (since, server->heard_at);
}

bool
reach_backing_off (struct reach *reach, const char *engine,
                   struct timespec now)
{
  struct server *server = g_hash_table_lookup (reach->servers, engine);

  if (server == NULL || server->backoff_ms == 0)
    return false;
  if (ts_before (now, server->backoff_until))
    return true;
  start_backoff (server, now);
  return false;
}

bool
reach_needs_new_connection (const struct reach *reach, const char *engine,
                            struct timespec now)
{
  const struct server *server = g_hash_table_lookup (reach->servers, engine);

  return server != NULL && ts_before (now, server->new_only_until);
}

int64_t
reach_first_byte_timeout_ms (const struct reach *reach, const char *engine)
{
  const struct server *server = g_hash_table_lookup (reach->servers, engine);
  double ms;

  if (server == NULL || server->first_byte_ms <= 0)
    return REACH_FIRST_BYTE_MAX_MS;
  ms = server->first_byte_ms * REACH_FIRST_BYTE_FACTOR;
  ms = CLAMP (ms, REACH_FIRST_BYTE_MIN_MS, REACH_FIRST_BYTE_MAX_MS);
  return (int64_t)MAX (ms,
                       server->first_byte_ms * REACH_FIRST_BYTE_MIN_FACTOR);
}

void
reach_clean (struct reach *reach, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reach->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct server *server = value;

      if (ts_before (ts_add_ms (server->used_at, REACH_EXPIRE_MS), now))
        g_hash_table_iter_remove (&iter);
    }
}
