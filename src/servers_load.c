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
servers_observe_first (struct servers *servers, const char *id, double ratio,
                       struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL || ratio <= 0)
    return;
  pace_observe (&server->pace.first, ratio, now);
  server->first_ratio = ratio;
}

void
servers_observe_events (struct servers *servers, const char *id, double ratio,
                        struct timespec now)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL || ratio <= 0)
    return;
  pace_observe (&server->pace.events, ratio, now);
  server->event_ratio = ratio;
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

static double
from_peer (uint64_t value)
{
  return (double)value / PEER_PACE_UNITS;
}

static uint64_t
to_peer (double value)
{
  return (uint64_t)(value * PEER_PACE_UNITS);
}

void
servers_apply_pace (struct servers *servers, const struct peer_load *load,
                    bool from_decider, struct timespec now)
{
  struct server *server = servers_find (servers, load->server);

  if (server == NULL)
    return;
  if (from_decider)
    {
      pace_adopt (&server->pace, from_peer (load->pace), now);
      pace_adopt_ratio (&server->pace.first, from_peer (load->first_ratio),
                        now);
      pace_adopt_ratio (&server->pace.events, from_peer (load->event_ratio),
                        now);
      return;
    }
  pace_report (&server->pace, from_peer (load->pace), now);
  pace_observe (&server->pace.first, from_peer (load->first_ratio), now);
  pace_observe (&server->pace.events, from_peer (load->event_ratio), now);
}

/* 0 without observations.  */
static double
correction_of (const struct server *server, const struct pace_ratio *ratio)
{
  return ratio->value > 0 ? pace_correction (ratio, server->load_at) : 0;
}

/* A node tells the decider what it has heard and observed itself; the decider
   tells the nodes what comes of all that.  */
static void
add_pace (const struct server *server, bool forwarded, struct peer_load *load)
{
  const struct pace *pace = &server->pace;

  if (forwarded)
    {
      load->pace = to_peer (pace->drift);
      load->first_ratio = to_peer (correction_of (server, &pace->first));
      load->event_ratio = to_peer (correction_of (server, &pace->events));
      return;
    }
  load->pace = to_peer (server->pace_told ? pace->latest : 0);
  load->first_ratio = to_peer (server->first_ratio);
  load->event_ratio = to_peer (server->event_ratio);
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
          server->first_ratio = 0;
          server->event_ratio = 0;
        }
      server->load_observed = false;
      server->load_applied = false;
    }
}
