#include "brittle.h"

#include <glib.h>
#include "ts.h"

struct pause
{
  struct timespec until;
};

struct brittle
{
  GHashTable *services; /* names of those whose last word was brittle */
  GHashTable *pauses;   /* server id to struct pause */
};

struct brittle *
brittle_new (void)
{
  struct brittle *brittle = g_new0 (struct brittle, 1);

  brittle->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  brittle->pauses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return brittle;
}

void
brittle_free (struct brittle *brittle)
{
  if (brittle == NULL)
    return;
  g_hash_table_unref (brittle->services);
  g_hash_table_unref (brittle->pauses);
  g_free (brittle);
}

void
brittle_forget (struct brittle *brittle, const char *server)
{
  g_hash_table_remove (brittle->pauses, server);
}

static void
pause_server (struct brittle *brittle, const char *id, double ms,
              struct timespec now)
{
  struct pause *pause = g_new (struct pause, 1);

  pause->until = ts_add_ms (now, (int64_t)MIN (ms, BRITTLE_PAUSE_MAX_MS));
  g_hash_table_replace (brittle->pauses, g_strdup (id), pause);
}

void
brittle_heard (struct brittle *brittle, const struct brittle_server *server,
               double per_s, bool rejected, size_t nodes, struct timespec now)
{
  if (per_s == 0)
    {
      g_hash_table_remove (brittle->services, server->service);
      brittle_forget (brittle, server->id);
    }
  if (per_s <= 0)
    return;
  g_hash_table_add (brittle->services, g_strdup (server->service));
  if (rejected)
    pause_server (brittle, server->id,
                  (double)TS_MS_PER_S * (double)nodes
                      / (per_s * BRITTLE_RATE_SHARE),
                  now);
}

bool
brittle_may_send (const struct brittle *brittle,
                  const struct brittle_server *server, size_t nodes,
                  struct timespec now)
{
  const struct pause *pause;

  if (!g_hash_table_contains (brittle->services, server->service))
    return true;
  pause = g_hash_table_lookup (brittle->pauses, server->id);
  return server->in_flight < MAX (server->slots / MAX (nodes, 1), 1)
         && (pause == NULL || !ts_before (now, pause->until));
}
