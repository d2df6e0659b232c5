/* pace_fixture - nodes that choose among engines of uneven pace.

   Engines read prompts one after another.  All nodes hear of their loads every
   NEWS_S, as these were NEWS_AGE_S before, and choose independently.  */

#ifndef PACE_FIXTURE_H
#define PACE_FIXTURE_H

#include <math.h>
#include <string.h>
#include <glib.h>
#include "delay.h"
#include "pace.h"
#include "pick.h"
#include "ts.h"

#define FX_ENGINES 8 /* at most */
#define FX_NODES 70
#define FX_SUBJECTS 200
#define FX_SHARED_TOKENS 6300
#define FX_LONG_TOKENS 9190
#define FX_SHORT_TOKENS 826
#define FX_SLOTS 64
#define FX_RUN_S 1.5
#define FX_NEWS_S 0.2
#define FX_NEWS_AGE_S 0.3
#define FX_SWING_S 0.3      /* duration of a momentary pace */
#define FX_SWING_SHARE 0.1  /* of the time */
#define FX_SWING_FACTOR 2.5 /* of the pace then */

struct fx_seen
{
  double at;
  double ratio;
};

struct fx_engine
{
  struct route_engine route;
  char id[8];
  double pace;
  double told; /* lies: always told, with no load; 0: the truth */
  double free_at;
  double cached_at[FX_SUBJECTS]; /* last use; 0: not cached */
  GArray *starts;                /* double: first events to come */
  GArray *seen;                  /* struct fx_seen: observations to come */
  unsigned requests;
  unsigned cold;     /* shared parts read */
  struct pace heard; /* by the decider */
};

struct fx_view
{
  struct route_replica replicas[FX_ENGINES];
  struct route_engine routes[FX_ENGINES];
  struct pick *pick;
};

struct fx
{
  struct fx_engine engines[FX_ENGINES];
  struct fx_view views[FX_NODES];
  GRand *rand;
  unsigned engine_count;
  bool old;           /* no pace is told */
  bool news_lost;     /* of loads */
  double rate;        /* requests a second */
  double long_share;  /* of requests with long prompts */
  unsigned subjects;  /* of long prompts */
  unsigned cache_max; /* subjects that fit into an engine's memory */
  double objective_s;
  double now;
  double shared_at;
  unsigned requests;
  unsigned in_time;
};

/* Late enough for ages not to be negative.  */
static struct timespec
fx_time (double s)
{
  return ts_from_s (1000 + s);
}

static void
fx_init (struct fx *fx, const double *paces, unsigned count, guint32 seed)
{
  memset (fx, 0, sizeof *fx);
  fx->engine_count = count;
  fx->rand = g_rand_new_with_seed (seed);
  fx->long_share = 0.55;
  fx->subjects = 40;
  fx->cache_max = 40;
  fx->objective_s = 0.8;
  fx->now = fx->shared_at = 1;
  for (unsigned e = 0; e < count; e++)
    {
      fx->engines[e].pace = paces[e];
      fx->engines[e].starts = g_array_new (FALSE, FALSE, sizeof (double));
      fx->engines[e].seen
          = g_array_new (FALSE, FALSE, sizeof (struct fx_seen));
      g_snprintf (fx->engines[e].id, sizeof fx->engines[e].id, "e%u", e);
    }
  for (unsigned n = 0; n < FX_NODES; n++)
    {
      struct pick_options options = { .zone = "z", .seed = seed + n };
      struct fx_view *view = &fx->views[n];

      view->pick = pick_new (&options);
      for (unsigned e = 0; e < count; e++)
        {
          view->routes[e] = (struct route_engine){ .id = fx->engines[e].id,
                                                   .zone = (char *)"z",
                                                   .refs = 1 };
          view->replicas[e]
              = (struct route_replica){ .engine = &view->routes[e],
                                        .reported_at = fx_time (1),
                                        .slots = FX_SLOTS };
        }
    }
}

static void
fx_clear (struct fx *fx)
{
  for (unsigned e = 0; e < fx->engine_count; e++)
    {
      g_array_unref (fx->engines[e].starts);
      g_array_unref (fx->engines[e].seen);
    }
  for (unsigned n = 0; n < FX_NODES; n++)
    pick_free (fx->views[n].pick);
  g_rand_free (fx->rand);
}

/* The pace of ENGINE at S, the same for each call.  */
static double
fx_pace (const struct fx *fx, const struct fx_engine *engine, double s)
{
  guint32 span = (guint32)(s / FX_SWING_S);
  guint32 hash = (span * 2654435761u) ^ g_str_hash (engine->id) * 40503u;

  (void)fx;
  hash = (hash ^ (hash >> 15)) * 2246822519u;
  hash ^= hash >> 13;
  return engine->pace
         * (hash % 1000 < 1000 * FX_SWING_SHARE ? FX_SWING_FACTOR : 1);
}

/* When work of WORK_S at the usual pace is done that begins at S.  */
static double
fx_work (const struct fx *fx, const struct fx_engine *engine, double s,
         double work_s)
{
  while (work_s > 0)
    {
      double end = (floor (s / FX_SWING_S) + 1) * FX_SWING_S + 1e-9;
      double pace = fx_pace (fx, engine, s);
      double part = MIN (work_s * pace, end - s);

      s += part;
      work_s -= part / pace;
    }
  return s;
}

static unsigned
fx_count (const struct fx_engine *engine, double from, double to)
{
  unsigned n = 0;

  for (guint i = 0; i < engine->starts->len; i++)
    {
      double at = g_array_index (engine->starts, double, i);

      n += at > from && at <= to;
    }
  return n;
}

/* The decider learns what was observed until NOW.  */
static void
fx_observe (struct fx_engine *engine, double now)
{
  for (guint i = 0; i < engine->seen->len;)
    {
      struct fx_seen seen = g_array_index (engine->seen, struct fx_seen, i);

      if (seen.at > now)
        {
          i++;
          continue;
        }
      pace_observe (&engine->heard.first, seen.ratio, fx_time (now));
      g_array_remove_index_fast (engine->seen, i);
    }
}

static void
fx_share_news (struct fx *fx, double now)
{
  double at = now - FX_NEWS_AGE_S;

  for (unsigned e = 0; e < fx->engine_count; e++)
    {
      struct fx_engine *engine = &fx->engines[e];
      double told = engine->told > 0 ? engine->told : fx_pace (fx, engine, at);
      unsigned queued = fx_count (engine, at, INFINITY);
      unsigned running = fx_count (engine, at - FX_RUN_S, at);

      pace_report (&engine->heard, told, fx_time (at));
      fx_observe (engine, at);
      for (unsigned n = 0; n < FX_NODES; n++)
        {
          struct route_replica *replica = &fx->views[n].replicas[e];

          if (!fx->old)
            {
              replica->pace = pace_lasting (&engine->heard, fx_time (now));
              replica->pace_moment
                  = pace_moment (&engine->heard, fx_time (now));
              replica->pace_events
                  = pace_of_events (&engine->heard, fx_time (now));
              replica->pace_told = engine->heard.drift;
            }
          if (fx->news_lost)
            continue;
          replica->queued = engine->told > 0 ? 0 : queued;
          replica->running = engine->told > 0 ? 0 : running;
          replica->inflight_at_report = replica->engine->inflight;
          replica->reported_at = fx_time (at);
        }
    }
}

static void
fx_cache (struct fx *fx, struct fx_engine *engine, unsigned subject,
          double now)
{
  unsigned cached = 0;
  unsigned oldest = subject;

  engine->cached_at[subject] = now;
  for (unsigned s = 0; s < FX_SUBJECTS; s++)
    {
      cached += engine->cached_at[s] > 0;
      if (engine->cached_at[s] > 0
          && engine->cached_at[s] < engine->cached_at[oldest])
        oldest = s;
    }
  if (cached > fx->cache_max)
    engine->cached_at[oldest] = 0;
}

/* NODE sends one request; SUBJECT 0: a short prompt.  Returns the engine.  */
static unsigned
fx_request (struct fx *fx, unsigned node, unsigned subject)
{
  struct fx_view *view = &fx->views[node];
  unsigned tokens = subject > 0 ? FX_LONG_TOKENS : FX_SHORT_TOKENS;
  struct pick_request request
      = { .replicas = view->replicas,
          .count = fx->engine_count,
          .prefix = subject,
          .by_delay = true,
          .prefix_s = subject > 0 ? delay_read_s (FX_SHARED_TOKENS) : 0,
          .read_s = delay_read_s (tokens),
          .objective_s = fx->objective_s,
          .gap_s = 0.5,
          .nodes = FX_NODES };
  struct pick_explanation why;
  ptrdiff_t e = pick_replica (view->pick, &request, fx_time (fx->now), &why);
  struct fx_engine *engine = &fx->engines[e];
  double read_s = delay_read_s (tokens);

  if (subject > 0)
    {
      if (engine->cached_at[subject] > 0)
        read_s -= request.prefix_s;
      else
        engine->cold++;
      fx_cache (fx, engine, subject, fx->now);
      pick_hint (view->pick, engine->id, subject, true, fx_time (fx->now));
      pick_sent (view->pick, engine->id, tokens, fx_time (fx->now));
    }
  engine->free_at
      = fx_work (fx, engine, MAX (engine->free_at, fx->now), read_s * 1.15);
  g_array_append_val (engine->starts, engine->free_at);
  engine->requests++;
  fx->requests++;
  fx->in_time += engine->free_at - fx->now <= fx->objective_s;
  if (why.paced)
    {
      struct fx_seen seen
          = { .at = engine->free_at,
              .ratio
              = pace_compare (why.told_s, engine->free_at - fx->now, 0.05) };

      g_array_append_val (engine->seen, seen);
    }
  return (unsigned)e;
}

/* Shared parts read.  */
static unsigned
fx_cold (const struct fx *fx)
{
  unsigned n = 0;

  for (unsigned e = 0; e < fx->engine_count; e++)
    n += fx->engines[e].cold;
  return n;
}

/* Requests at random for DURATION_S.  Returns the share that was in time.  */
static double
fx_run (struct fx *fx, double duration_s)
{
  double end = fx->now + duration_s;

  while (fx->now < end)
    {
      bool is_long = g_rand_double (fx->rand) < fx->long_share;
      unsigned subject = is_long ? (unsigned)g_rand_int_range (
                             fx->rand, 1, (gint32)fx->subjects)
                                 : 0;

      fx->now -= log (1 - g_rand_double (fx->rand)) / fx->rate;
      for (; fx->shared_at < fx->now; fx->shared_at += FX_NEWS_S)
        fx_share_news (fx, fx->shared_at);
      fx_request (fx, (unsigned)g_rand_int_range (fx->rand, 0, FX_NODES),
                  subject);
    }
  return (double)fx->in_time / fx->requests;
}

/* Fills the caches and forgets what was counted.  */
static void
fx_warm_up (struct fx *fx)
{
  fx_run (fx, 15);
  fx->requests = 0;
  fx->in_time = 0;
  for (unsigned e = 0; e < fx->engine_count; e++)
    {
      fx->engines[e].requests = 0;
      fx->engines[e].cold = 0;
    }
}

#endif
