#include "servers.h"

#include "ts.h"

/* Paces between nodes are in thousandths.  */
#define PEER_PACE_UNITS 1000.0

static void
set_load (struct server *server, unsigned running, unsigned queued,
          struct timespec now)
{
  server->running = running;
  server->queued = queued;
  server->inflight_at_load = server->route->inflight;
  server->load_at = now;
}

void
servers_report_load (struct servers *servers, const char *id, unsigned running,
                     unsigned queued, struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL)
    return;
  set_load (server, running, queued, now);
  server->load_observed = true;
  server->observed_at = now;
}

void
servers_report_pace (struct servers *servers, const char *id, double pace,
                     struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL || pace <= 0)
    return;
  pace_report (&server->pace, pace, now);
  server->pace_told = true;
}

void
servers_observe_pace (struct servers *servers, const char *id, double ratio,
                      struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL || ratio <= 0)
    return;
  pace_observe (&server->pace, ratio, now);
  server->pace_ratio = ratio;
}

void
servers_apply_load (struct servers *servers, const char *id, unsigned running,
                    unsigned queued, struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL
      || (!ts_is_zero (server->observed_at)
          && ts_before (now,
                        ts_add_ms (server->observed_at, SERVERS_OWN_LOAD_MS))))
    return;
  set_load (server, running, queued, now);
  server->load_applied = true;
}

void
servers_apply_pace (struct servers *servers, const struct peer_load *load,
                    bool from_decider, struct timespec now)
{
  struct server *server = servers_find (servers, load->server);
  double told = (double)load->pace / PEER_PACE_UNITS;
  double observed = (double)load->pace_observed / PEER_PACE_UNITS;

  if (server == NULL)
    return;
  if (from_decider)
    {
      pace_adopt (&server->pace, told, observed, now);
      return;
    }
  pace_report (&server->pace, told, now);
  pace_observe (&server->pace, observed, now);
}

/* A node tells the decider what it has heard and observed itself; the decider
   tells the nodes what comes of all that.  */
static void
add_pace (const struct server *server, bool forwarded, struct peer_load *load)
{
  const struct pace *pace = &server->pace;
  double told = pace->drift;
  double observed
      = pace->observed > 0 ? pace_correction (pace, server->load_at) : 0;

  if (!forwarded)
    {
      told = server->pace_told ? pace->latest : 0;
      observed = server->pace_ratio;
    }
  load->pace = (uint64_t)(told * PEER_PACE_UNITS);
  load->pace_observed = (uint64_t)(observed * PEER_PACE_UNITS);
}

void
servers_take_loads (struct servers *servers, bool forwarded, GArray *loads)
{
  struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, servers_all (servers));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      struct peer_load load = { .server = server->route->id,
                                .running = server->running,
                                .queued = server->queued };

      if (server->load_observed || (forwarded && server->load_applied))
        {
          add_pace (server, forwarded, &load);
          g_array_append_val (loads, load);
          server->pace_told = false;
          server->pace_ratio = 0;
        }
      server->load_observed = false;
      server->load_applied = false;
    }
}
