/* The load pattern: one model takes a tenth of all requests, at six engines,
   through 24 nodes that each see a request for it every second.  Its prompts
   begin with one of 61 shared parts, which take longer to read than the rest.
   Chosen by the loads that each node has seen itself, requests pile up at some
   engines, and every engine reads every shared part.  */

#include <math.h>
#include <string.h>
#include <glib.h>
#include "delay.h"
#include "pick.h"
#include "ts.h"

#define ENGINES 6 /* at most */
#define NODES 24
#define SUBJECTS 61
#define SHARED_TOKENS 6300
#define OWN_TOKENS 2890
#define NOTE_TOKENS 826
#define DIGEST_SHARE 0.46
#define REQUESTS_PER_S 38.0
#define DURATION_S 30.0
#define CACHED_MAX 40 /* shared parts that fit into an engine's memory */
#define SLOTS 64
#define OBJECTIVE_S 0.8
#define DEADLINE_S 6.0
#define SHARE_DELAY_S 0.4 /* of a load that another node has seen */

struct sim_engine
{
  struct route_engine route;
  char id[8];
  double free_at;             /* when it has read all that waits there */
  double cached_at[SUBJECTS]; /* last use; 0: not cached */
  GArray *starts;             /* double: first tokens to come */
};

struct view
{
  struct route_replica replicas[ENGINES];
  struct route_engine routes[ENGINES];
  struct pick *pick;
};

struct sim
{
  struct sim_engine engines[ENGINES];
  struct view views[NODES];
  GRand *rand;
  unsigned engine_count;
  double requests_per_s;
  bool by_delay;
  bool rejects; /* requests for overloaded engines */
  unsigned rejected;
  unsigned served; /* before their deadline */
  double read_s;   /* time spent reading shared parts */
  unsigned requests;
  unsigned in_time;
};

static void
sim_init (struct sim *sim, bool by_delay, guint32 seed)
{
  memset (sim, 0, sizeof *sim);
  sim->by_delay = by_delay;
  sim->engine_count = ENGINES;
  sim->requests_per_s = REQUESTS_PER_S;
  sim->rand = g_rand_new_with_seed (seed);
  for (unsigned e = 0; e < ENGINES; e++)
    {
      g_snprintf (sim->engines[e].id, sizeof sim->engines[e].id, "e%u", e);
      sim->engines[e].starts = g_array_new (FALSE, FALSE, sizeof (double));
    }
  for (unsigned n = 0; n < NODES; n++)
    {
      struct pick_options options = { .zone = "z", .seed = seed + n };
      struct view *view = &sim->views[n];

      view->pick = pick_new (&options);
      for (unsigned e = 0; e < ENGINES; e++)
        {
          view->routes[e] = (struct route_engine){ .id = sim->engines[e].id,
                                                   .zone = (char *)"z",
                                                   .refs = 1 };
          view->replicas[e]
              = (struct route_replica){ .engine = &view->routes[e],
                                        .slots = SLOTS };
        }
    }
}

static void
sim_clear (struct sim *sim)
{
  for (unsigned e = 0; e < ENGINES; e++)
    g_array_unref (sim->engines[e].starts);
  for (unsigned n = 0; n < NODES; n++)
    pick_free (sim->views[n].pick);
  g_rand_free (sim->rand);
}

static unsigned
waiting_at (const struct sim_engine *engine, double now)
{
  unsigned waiting = 0;

  for (guint i = 0; i < engine->starts->len; i++)
    waiting += g_array_index (engine->starts, double, i) > now;
  return waiting;
}

/* Times of the simulation start late enough for ages not to be negative.  */
static struct timespec
at_time (double s)
{
  return ts_from_s (1000 + s);
}

/* NODE learns the load of engine E, as it was at AT.  */
static void
learn_load (struct sim *sim, unsigned node, unsigned e, double at)
{
  struct route_replica *replica = &sim->views[node].replicas[e];

  replica->queued = waiting_at (&sim->engines[e], at);
  replica->running = 2;
  replica->inflight_at_report = replica->engine->inflight;
  replica->reported_at = at_time (at);
}

static void
evict_oldest (struct sim_engine *engine)
{
  unsigned cached = 0;
  unsigned oldest = 0;

  for (unsigned s = 0; s < SUBJECTS; s++)
    {
      cached += engine->cached_at[s] > 0;
      if (engine->cached_at[s] > 0
          && (engine->cached_at[oldest] <= 0
              || engine->cached_at[s] < engine->cached_at[oldest]))
        oldest = s;
    }
  if (cached > CACHED_MAX)
    engine->cached_at[oldest] = 0;
}

/* Dispatches one request at NOW.  */
static void
request (struct sim *sim, double now)
{
  bool digest = g_rand_double (sim->rand) < DIGEST_SHARE;
  unsigned node = (unsigned)g_rand_int_range (sim->rand, 0, NODES);
  unsigned subject = (unsigned)g_rand_int_range (sim->rand, 0, SUBJECTS);
  struct view *view = &sim->views[node];
  struct pick_request pick
      = { .replicas = view->replicas,
          .count = sim->engine_count,
          .prefix = digest ? subject + 1 : 0,
          .by_delay = sim->by_delay,
          .prefix_s = digest ? delay_read_s (SHARED_TOKENS) : 0 };
  struct pick_explanation why;
  ptrdiff_t e = pick_replica (view->pick, &pick, at_time (now), &why);
  struct sim_engine *engine = &sim->engines[e];
  double limit_s = delay_limit_s (OBJECTIVE_S, DEADLINE_S);
  double read_s = delay_read_s (digest ? OWN_TOKENS : NOTE_TOKENS);
  double first_at;

  sim->requests++;
  if (sim->rejects && why.delay_s > limit_s)
    {
      sim->rejected++;
      return;
    }
  if (digest && engine->cached_at[subject] <= 0)
    {
      read_s += delay_read_s (SHARED_TOKENS);
      sim->read_s += delay_read_s (SHARED_TOKENS);
    }
  if (digest)
    {
      engine->cached_at[subject] = now;
      evict_oldest (engine);
      pick_hint (view->pick, engine->id, pick.prefix, true, at_time (now));
    }
  engine->free_at = MAX (engine->free_at, now) + read_s;
  first_at = engine->free_at;
  g_array_append_val (engine->starts, first_at);
  sim->served += first_at - now <= DEADLINE_S;
  sim->in_time += first_at - now <= OBJECTIVE_S;
}

static void
share_loads (struct sim *sim, double now)
{
  for (unsigned n = 0; n < NODES; n++)
    for (unsigned e = 0; e < sim->engine_count; e++)
      learn_load (sim, n, e, now - SHARE_DELAY_S);
}

/* Returns the share of requests answered within the objective.  */
static double
run (struct sim *sim)
{
  double now = 1;
  double shared_at = now;

  while (now < DURATION_S)
    {
      now -= log (1 - g_rand_double (sim->rand)) / sim->requests_per_s;
      while (sim->by_delay && shared_at < now)
        {
          share_loads (sim, shared_at);
          shared_at += 0.2;
        }
      request (sim, now);
    }
  return (double)sim->in_time / sim->requests;
}

/* With shared loads and a home for each shared part, 95 of 100 requests are
   answered within their objective, and less than half as much of shared parts
   is read as without.  */
static void
test_hot_model (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct sim by_load;
      struct sim by_delay;
      double share;

      sim_init (&by_load, false, seed);
      run (&by_load);
      sim_init (&by_delay, true, seed);
      share = run (&by_delay);
      g_test_message ("seed %u: %.3f by load, %.3f by delay; shared parts "
                      "read %.1f s, %.1f s",
                      seed, (double)by_load.in_time / by_load.requests, share,
                      by_load.read_s, by_delay.read_s);
      g_assert_cmpfloat (share, >=, 0.95);
      g_assert_cmpfloat (by_delay.read_s, <, by_load.read_s / 2);
      sim_clear (&by_load);
      sim_clear (&by_delay);
    }
}

/* Twice as many requests come for a model as its three engines can read, as
   after a restart that finds few replicas.  Sent to the engines all the same,
   they wait there until their deadlines have passed, and nearly none is
   served.  With those rejected at once that would wait too long, the engines
   serve all that they are sent, and a caller that was rejected is told when to
   come back.  */
static void
test_overload (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct sim all;
      struct sim some;
      unsigned sent;

      sim_init (&all, true, seed);
      all.engine_count = 3;
      all.requests_per_s = 120;
      run (&all);
      sim_init (&some, true, seed);
      some.engine_count = 3;
      some.requests_per_s = 120;
      some.rejects = true;
      run (&some);
      sent = some.requests - some.rejected;
      g_test_message ("seed %u: %u of %u served without rejections; %u of %u "
                      "sent with, %u in time",
                      seed, all.served, all.requests, some.served, sent,
                      some.in_time);
      g_assert_cmpuint (some.served, >, 2 * all.served);
      g_assert_cmpuint (some.served, >=, sent * 9 / 10);
      sim_clear (&all);
      sim_clear (&some);
    }
}

static void
test_retry (void)
{
  double limit_s = delay_limit_s (0.8, 6);

  g_assert_cmpfloat (limit_s, ==, 1);
  g_assert_cmpfloat (delay_limit_s (2, 6), ==, 2.5);
  g_assert_cmpfloat (delay_limit_s (3, 2), <, 2);
  g_assert_cmpfloat (delay_retry_s (5, limit_s, 0), ==, 4.5);
  g_assert_cmpfloat (delay_retry_s (5, limit_s, 1), ==, 6.75);
  g_assert_cmpfloat (delay_retry_s (0.1, limit_s, 0), >, 0.2);
}

/* Short prompts go to the quiet replica and long ones to the others, at every
   node the same, until the others are busier.  */
static void
test_quiet_replica (void)
{
  struct sim sim;
  size_t quiet = 0;

  sim_init (&sim, true, 1);
  for (unsigned n = 0; n < NODES; n++)
    {
      struct pick_request request = { .replicas = sim.views[n].replicas,
                                      .count = 4,
                                      .by_delay = true,
                                      .target = 77,
                                      .short_prompt = true };
      struct pick_explanation why;
      ptrdiff_t at
          = pick_replica (sim.views[n].pick, &request, at_time (1), &why);

      if (n == 0)
        quiet = (size_t)at;
      g_assert_cmpuint ((size_t)at, ==, quiet);
      request.short_prompt = false;
      at = pick_replica (sim.views[n].pick, &request, at_time (1), &why);
      g_assert_cmpuint ((size_t)at, !=, quiet);
      for (unsigned e = 0; e < 4; e++)
        if (e != quiet)
          {
            sim.views[n].replicas[e].queued = 5;
            sim.views[n].replicas[e].reported_at = at_time (1);
          }
      at = pick_replica (sim.views[n].pick, &request, at_time (1), &why);
      g_assert_cmpuint ((size_t)at, ==, quiet);
    }
  sim_clear (&sim);
}

/* A report tells less with age, so that an engine that was busy is tried
   again.  */
static void
test_backlog (void)
{
  struct delay_load busy = { .running = 20, .queued = 10 };
  struct delay_load idle = { 0 };
  struct delay_load old = { .running = 20, .queued = 10, .age_s = 10 };
  struct delay_load sent = { .queued = 2, .sent = 3 };

  g_assert_cmpfloat (delay_backlog_s (&idle), ==, 0);
  g_assert_cmpfloat (delay_backlog_s (&busy), >, 1);
  g_assert_cmpfloat (delay_backlog_s (&old), <, 0.001);
  g_assert_cmpfloat (delay_backlog_s (&sent), >, 0.4);
  g_assert_cmpfloat (delay_read_s (38700), ==, 1);
}

/* One crowded slow engine beside fast ones: its delay must tell that a further
   replica is needed long before it cannot read all prompts.  */
static void
test_expected (void)
{
  struct delay_demand demand
      = { .requests_per_s = 2, .read_s = 0.237, .running = 10 };
  double usual_s = delay_expected_s (1, &demand);

  g_assert_cmpfloat (usual_s, >, 0.237);
  g_assert_cmpfloat (delay_expected_s (0.55, &demand), <, usual_s * 0.55);
  g_assert_cmpfloat (delay_expected_s (1.5, &demand), >, usual_s * 1.5);
  demand.requests_per_s = 3;
  g_assert_cmpfloat (delay_expected_s (1, &demand), >, OBJECTIVE_S);
  demand.requests_per_s = 4;
  g_assert_true (isinf (delay_expected_s (1, &demand)));
  demand = (struct delay_demand){ 0 };
  g_assert_cmpfloat (delay_expected_s (1, &demand), <, 0.1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/delay/backlog", test_backlog);
  g_test_add_func ("/delay/expected", test_expected);
  g_test_add_func ("/delay/hot-model", test_hot_model);
  g_test_add_func ("/delay/overload", test_overload);
  g_test_add_func ("/delay/retry", test_retry);
  g_test_add_func ("/delay/quiet-replica", test_quiet_replica);
  return g_test_run ();
}
