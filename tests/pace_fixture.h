/* pace_fixture - nodes that choose among engines of uneven pace.

   Engines read prompts one after another, in pieces between decoding steps,
   each of which adds a token to all streams that run.  All nodes hear of their
   loads every NEWS_S, as these were NEWS_AGE_S before, and choose
   independently.  */

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
#define FX_READ_PER_S 38700.0
#define FX_PIECE_TOKENS 2048
#define FX_STEP_S 0.0055
#define FX_STEP_RUNNING_S 0.0006
#define FX_EVENT_TOKENS 5
#define FX_EVENTS_LONG 12
#define FX_EVENTS_SHORT 58
#define FX_GAP_S 0.5
#define FX_DEADLINE_S 15
#define FX_NEWS_S 0.2
#define FX_NEWS_AGE_S 0.3
#define FX_PAST 64
#define FX_PAST_S 0.05
#define FX_SWING_S 0.3      /* duration of a momentary pace */
#define FX_SWING_SHARE 0.1  /* of the time */
#define FX_SWING_FACTOR 2.5 /* of the pace then */

struct fx_stream
{
  unsigned node;
  double sent;
  double unread; /* tokens of the prompt */
  unsigned events;
  unsigned left; /* tokens of the answer */
  double first;  /* first event; 0: none yet */
  double last;   /* event */
  double gap;    /* longest */
  double told_s; /* as expected by the node */
  double event_told_s;
};

struct fx_engine
{
  struct route_engine route;
  char id[8];
  double pace;
  double told; /* lies: always told, with no load; 0: the truth */
  double at;   /* simulated until then */
  double cached_at[FX_SUBJECTS]; /* last use; 0: not cached */
  GArray *waiting;               /* struct fx_stream */
  GArray *running;
  struct
  {
    unsigned running;
    unsigned waiting;
    double pace;
  } past[FX_PAST]; /* one for each FX_PAST_S */
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
  unsigned late;    /* first events */
  unsigned paused;  /* too long */
  unsigned overrun; /* the deadline */
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
      fx->engines[e].waiting
          = g_array_new (FALSE, FALSE, sizeof (struct fx_stream));
      fx->engines[e].running
          = g_array_new (FALSE, FALSE, sizeof (struct fx_stream));
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
      g_array_unref (fx->engines[e].waiting);
      g_array_unref (fx->engines[e].running);
    }
  for (unsigned n = 0; n < FX_NODES; n++)
    pick_free (fx->views[n].pick);
  g_rand_free (fx->rand);
}

/* The pace of ENGINE at S, the same for each call.  */
static double
fx_pace (const struct fx_engine *engine, double s)
{
  guint32 span = (guint32)(s / FX_SWING_S);
  guint32 hash = (span * 2654435761u) ^ g_str_hash (engine->id) * 40503u;

  hash = (hash ^ (hash >> 15)) * 2246822519u;
  hash ^= hash >> 13;
  return engine->pace
         * (hash % 1000 < 1000 * FX_SWING_SHARE ? FX_SWING_FACTOR : 1);
}

static void
fx_end (struct fx *fx, struct fx_engine *engine,
        const struct fx_stream *stream)
{
  bool late = stream->first - stream->sent > fx->objective_s;
  bool paused = stream->gap > FX_GAP_S;
  bool overrun = stream->last - stream->sent > FX_DEADLINE_S;
  unsigned e = (unsigned)(engine - fx->engines);

  fx->late += late;
  fx->paused += paused;
  fx->overrun += overrun;
  fx->in_time += !late && !paused && !overrun;
  fx->requests++;
  fx->views[stream->node].routes[e].inflight--;
  if (stream->event_told_s > 0)
    pace_observe (
        &engine->heard.events,
        pace_compare (stream->event_told_s,
                      (stream->last - stream->first) / (stream->events - 1),
                      0.005),
        fx_time (engine->at));
}

/* One more token of each stream.  */
static void
fx_decode (struct fx *fx, struct fx_engine *engine)
{
  for (guint i = engine->running->len; i-- > 0;)
    {
      struct fx_stream *stream
          = &g_array_index (engine->running, struct fx_stream, i);

      if (--stream->left % FX_EVENT_TOKENS != 0)
        continue;
      if (stream->first > 0)
        stream->gap = MAX (stream->gap, engine->at - stream->last);
      else
        {
          stream->first = engine->at;
          if (stream->told_s > 0)
            pace_observe (&engine->heard.first,
                          pace_compare (stream->told_s,
                                        stream->first - stream->sent, 0.05),
                          fx_time (engine->at));
        }
      stream->last = engine->at;
      if (stream->left > 0)
        continue;
      fx_end (fx, engine, stream);
      g_array_remove_index_fast (engine->running, i);
    }
}

/* Returns the tokens of the piece that is read.  */
static double
fx_read (struct fx_engine *engine)
{
  struct fx_stream *stream;
  double piece;

  if (engine->waiting->len == 0)
    return 0;
  stream = &g_array_index (engine->waiting, struct fx_stream, 0);
  piece = MIN (stream->unread, FX_PIECE_TOKENS);
  stream->unread -= piece;
  if (stream->unread <= 0)
    {
      g_array_append_vals (engine->running, stream, 1);
      g_array_remove_index (engine->waiting, 0);
    }
  return piece;
}

static void
fx_advance (struct fx *fx, struct fx_engine *engine, double until)
{
  while (engine->at < until)
    {
      unsigned i = (unsigned)(engine->at / FX_PAST_S) % FX_PAST;

      engine->past[i].running = engine->running->len;
      engine->past[i].waiting = engine->waiting->len;
      engine->past[i].pace = fx_pace (engine, engine->at);
      if (engine->running->len + engine->waiting->len == 0)
        {
          engine->at = MIN (until, engine->at + FX_PAST_S);
          continue;
        }
      engine->at += engine->past[i].pace
                    * (fx_read (engine) / FX_READ_PER_S + FX_STEP_S
                       + FX_STEP_RUNNING_S * engine->running->len);
      fx_decode (fx, engine);
    }
}

static void
fx_learn (struct fx *fx, struct fx_engine *engine, double now)
{
  unsigned e = (unsigned)(engine - fx->engines);
  double at = now - FX_NEWS_AGE_S;
  unsigned i = (unsigned)(at / FX_PAST_S) % FX_PAST;

  pace_report (&engine->heard,
               engine->told > 0 ? engine->told : engine->past[i].pace,
               fx_time (at));
  for (unsigned n = 0; n < FX_NODES; n++)
    {
      struct route_replica *replica = &fx->views[n].replicas[e];

      if (!fx->old)
        {
          replica->pace = pace_lasting (&engine->heard, fx_time (now));
          replica->pace_moment = pace_moment (&engine->heard, fx_time (now));
          replica->pace_events
              = pace_of_events (&engine->heard, fx_time (now));
          replica->pace_told = engine->heard.drift;
        }
      if (fx->news_lost)
        continue;
      replica->queued = engine->told > 0 ? 0 : engine->past[i].waiting;
      replica->running = engine->told > 0 ? 0 : engine->past[i].running;
      replica->inflight_at_report = replica->engine->inflight;
      replica->reported_at = fx_time (at);
    }
}

static void
fx_share_news (struct fx *fx, double now)
{
  for (unsigned e = 0; e < fx->engine_count; e++)
    {
      fx_advance (fx, &fx->engines[e], now);
      fx_learn (fx, &fx->engines[e], now);
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
  unsigned events = subject > 0 ? FX_EVENTS_LONG : FX_EVENTS_SHORT;
  struct pick_request request
      = { .replicas = view->replicas,
          .count = fx->engine_count,
          .prefix = subject,
          .by_delay = true,
          .prefix_s = subject > 0 ? delay_read_s (FX_SHARED_TOKENS) : 0,
          .read_s = delay_read_s (tokens),
          .objective_s = fx->objective_s,
          .gap_s = FX_GAP_S,
          .events = events,
          .event_tokens = FX_EVENT_TOKENS,
          .left_s = FX_DEADLINE_S,
          .nodes = FX_NODES };
  struct pick_explanation why;
  ptrdiff_t e = pick_replica (view->pick, &request, fx_time (fx->now), &why);
  struct fx_engine *engine = &fx->engines[e];
  struct fx_stream stream = { .node = node,
                              .sent = fx->now,
                              .unread = tokens,
                              .left = FX_EVENT_TOKENS * events,
                              .events = events,
                              .told_s = why.told_s,
                              .event_told_s = why.event_told_s };

  fx_advance (fx, engine, fx->now);
  if (subject > 0)
    {
      if (engine->cached_at[subject] > 0)
        stream.unread -= FX_SHARED_TOKENS;
      else
        engine->cold++;
      fx_cache (fx, engine, subject, fx->now);
      pick_hint (view->pick, engine->id, subject, true, fx_time (fx->now));
      pick_sent (view->pick, engine->id, tokens,
                 (uint64_t)(why.prefix_trust * FX_SHARED_TOKENS),
                 fx_time (fx->now));
    }
  view->routes[e].inflight++;
  g_array_append_val (engine->waiting, stream);
  engine->requests++;
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

/* Ends all streams.  */
static void
fx_drain (struct fx *fx)
{
  for (unsigned e = 0; e < fx->engine_count; e++)
    fx_advance (fx, &fx->engines[e], fx->now + 100);
}

/* Fills the caches and forgets what was counted.  */
static void
fx_warm_up (struct fx *fx)
{
  fx_run (fx, 15);
  fx->requests = 0;
  fx->in_time = 0;
  fx->late = 0;
  fx->paused = 0;
  fx->overrun = 0;
  for (unsigned e = 0; e < fx->engine_count; e++)
    {
      fx->engines[e].requests = 0;
      fx->engines[e].cold = 0;
    }
}

#endif
