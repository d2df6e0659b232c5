#include "reach.h"

#include <glib.h>
#include "ts.h"

#define MEAN_WEIGHT 0.1 /* of the newest time in the mean */

struct server
{
  struct timespec touched;
  struct timespec down_until; /* zero: reachable */
  struct timespec fresh_until;
  int64_t down_ms; /* length of the last pause */
  double first_ms; /* mean; 0: not known */
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
touch (struct reach *reach, const char *engine, struct timespec now)
{
  struct server *server = g_hash_table_lookup (reach->servers, engine);

  if (server == NULL)
    {
      server = g_new0 (struct server, 1);
      g_hash_table_insert (reach->servers, g_strdup (engine), server);
    }
  server->touched = now;
  return server;
}

void
reach_answered (struct reach *reach, const char *engine,
                struct timespec first_byte, struct timespec now)
{
  struct server *server = touch (reach, engine, now);
  double ms = ts_to_s (first_byte) * (double)TS_MS_PER_S;

  server->down_until = (struct timespec){ 0 };
  server->down_ms = 0;
  server->first_ms
      = server->first_ms > 0
            ? server->first_ms * (1 - MEAN_WEIGHT) + ms * MEAN_WEIGHT
            : ms;
}

static void
pause_server (struct server *server, struct timespec now)
{
  server->down_until = ts_add_ms (now, server->down_ms);
}

void
reach_connect_failed (struct reach *reach, const char *engine,
                      struct timespec now)
{
  struct server *server = touch (reach, engine, now);
  bool paused = ts_before (now, server->down_until);

  if (server->down_ms == 0)
    server->down_ms = REACH_BACKOFF_MIN_MS;
  else if (!paused)
    server->down_ms = MIN (server->down_ms * 2, REACH_BACKOFF_MAX_MS);
  pause_server (server, now);
}

void
reach_stalled (struct reach *reach, const char *engine, struct timespec now)
{
  touch (reach, engine, now)->fresh_until = ts_add_ms (now, REACH_STALL_MS);
}

bool
reach_backing_off (struct reach *reach, const char *engine,
                   struct timespec now)
{
  struct server *server = g_hash_table_lookup (reach->servers, engine);

  if (server == NULL || server->down_ms == 0)
    return false;
  if (ts_before (now, server->down_until))
    return true;
  pause_server (server, now);
  return false;
}

bool
reach_needs_new_connection (const struct reach *reach, const char *engine,
                            struct timespec now)
{
  const struct server *server = g_hash_table_lookup (reach->servers, engine);

  return server != NULL && ts_before (now, server->fresh_until);
}

int64_t
reach_first_byte_timeout_ms (const struct reach *reach, const char *engine)
{
  const struct server *server = g_hash_table_lookup (reach->servers, engine);
  double ms;

  if (server == NULL || server->first_ms <= 0)
    return REACH_FIRST_BYTE_MAX_MS;
  ms = server->first_ms * REACH_FIRST_BYTE_FACTOR;
  ms = CLAMP (ms, REACH_FIRST_BYTE_MIN_MS, REACH_FIRST_BYTE_MAX_MS);
  return (int64_t)MAX (ms, server->first_ms * REACH_FIRST_BYTE_MIN_FACTOR);
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

      if (ts_before (ts_add_ms (server->touched, REACH_EXPIRE_MS), now))
        g_hash_table_iter_remove (&iter);
    }
}
