#include "pace_fixture.h"

#define LISTS 20000 /* of replicas, made at random */
#define LIST_MAX 6

/* Made by the choice by delay as it was before servers told their pace.  */
#define UNPACED_CHOICES 0x93e8e3eau

static void
make_list (GRand *rand, struct route_engine *engines,
           struct route_replica *replicas, size_t count)
{
  static char ids[LIST_MAX][4] = { "a", "b", "c", "d", "e", "f" };
  static char zones[2][4] = { "z1", "z2" };

  for (size_t i = 0; i < count; i++)
    {
      engines[i] = (struct route_engine){
        .id = ids[i],
        .zone = zones[g_rand_int_range (rand, 0, 2)],
        .inflight = (unsigned)g_rand_int_range (rand, 0, 4),
        .refs = 1,
      };
      replicas[i] = (struct route_replica){
        .engine = &engines[i],
        .slots = (unsigned)g_rand_int_range (rand, 4, 12),
        .running = (unsigned)g_rand_int_range (rand, 0, 8),
        .queued = (unsigned)g_rand_int_range (rand, 0, 4),
        .inflight_at_report = (unsigned)g_rand_int_range (rand, 0, 4),
        .reported_at = fx_time (g_rand_double (rand)),
        .leaving = g_rand_int_range (rand, 0, 10) == 0,
      };
    }
}

static struct pick_request
make_request (GRand *rand, const struct route_replica *replicas, size_t count)
{
  return (struct pick_request){
    .replicas = replicas,
    .count = count,
    .prefix = (uint64_t)g_rand_int_range (rand, 0, 20),
    .by_delay = g_rand_int_range (rand, 0, 4) > 0,
    .prefix_s = g_rand_double (rand) / 4,
    .target = (uint64_t)g_rand_int_range (rand, 0, 5),
    .short_prompt = g_rand_boolean (rand),
    .adapter = g_rand_boolean (rand),
  };
}

/* The hash of the choices among many lists of replicas without a pace.  */
static guint32
choices_without_pace (bool all_fields)
{
  struct pick_options options = { .zone = "z1", .seed = 3 };
  struct pick *pick = pick_new (&options);
  GRand *rand = g_rand_new_with_seed (7);
  guint32 hash = 0;

  for (unsigned l = 0; l < LISTS; l++)
    {
      struct route_engine engines[LIST_MAX];
      struct route_replica replicas[LIST_MAX];
      size_t count = (size_t)g_rand_int_range (rand, 1, LIST_MAX + 1);
      struct pick_request request;
      struct pick_explanation why;
      ptrdiff_t at;

      make_list (rand, engines, replicas, count);
      request = make_request (rand, replicas, count);
#ifndef TRIAL_OLD
      if (all_fields)
        {
          request.read_s = 0.2;
          request.objective_s = 0.1;
          request.gap_s = 0.1;
          request.nodes = FX_NODES;
          pick_sent (pick, "a", 10 * FX_LONG_TOKENS, 0, fx_time (l));
        }
#endif
      at = pick_replica (pick, &request, fx_time (1 + l / 1000.0), &why);
      hash = hash * 31 + (guint32)(at + 2);
      hash = hash * 31 + (guint32)lround (why.delay_s * 1e6);
      hash = hash * 31 + (guint32)why.reason;
      if (at >= 0 && g_rand_boolean (rand))
        pick_hint (pick, engines[at].id, request.prefix, true,
                   fx_time (1 + l / 1000.0));
    }
  g_rand_free (rand);
  pick_free (pick);
  return hash;
}

/* Servers that tell no pace get each request that they got before: choices,
   delays and reasons are the same.  */
static void
test_unpaced (void)
{
  g_assert_cmphex (choices_without_pace (false), ==, UNPACED_CHOICES);
  g_assert_cmphex (choices_without_pace (true), ==, UNPACED_CHOICES);
}

static const double uneven[] = { 0.55, 1.2, 1.2, 1.2 };

/* The requests, of 5 seeds, of which the first event or the end was late, or
   that paused for too long, with (NOW) and without paces told.  */
struct lost
{
  unsigned old;
  unsigned now;
  unsigned quick; /* requests at the quick server */
  unsigned requests;
};

static struct lost
count_lost (unsigned engines, double rate)
{
  struct lost lost = { 0 };

  for (guint32 seed = 1; seed <= 5; seed++)
    for (int old = 0; old < 2; old++)
      {
        struct fx fx;

        fx_init (&fx, uneven, engines, seed);
        fx.old = old;
        fx.rate = rate;
        fx_warm_up (&fx);
        fx_run (&fx, 45);
        fx_drain (&fx);
        *(old ? &lost.old : &lost.now) += fx.requests - fx.in_time;
        if (!old)
          {
            lost.quick += fx.engines[0].requests;
            lost.requests += fx.requests;
          }
        fx_clear (&fx);
      }
  g_test_message ("%u engines: %u lost without paces, %u with; quick %u of %u",
                  engines, lost.old, lost.now, lost.quick, lost.requests);
  return lost;
}

/* The quick servers stay half idle while requests are late, and streams pause,
   at the slow ones.  */
static void
test_uneven (void)
{
  struct lost four = count_lost (4, 16);
  struct lost two = count_lost (2, 9);
  /* Nearly as much as the servers can read: more sent away from the servers
     that have their prefixes would be more to read.  */
  struct lost busy = count_lost (4, 20);

  g_assert_cmpuint (3 * four.now, <, 2 * four.old);
  g_assert_cmpuint (3 * two.now, <, 2 * two.old);
  g_assert_cmpuint (3 * busy.now, <, 2 * busy.old);
  g_assert_cmpuint (100 * four.quick, >, 40 * four.requests);
  g_assert_cmpuint (100 * two.quick, >, 60 * two.requests);
}

/* Servers hold all shared parts only if each part stays at one of them.  Sent
   to whichever server is the quickest, parts evict each other, and all servers
   read more than they can.  */
static void
test_small_caches (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct fx fx;
      double share;

      fx_init (&fx, uneven, 4, seed);
      fx.rate = 14;
      fx.subjects = 100;
      fx_warm_up (&fx);
      share = fx_run (&fx, 45);
      g_test_message ("seed %u: %.3f in time; cold %u", seed, share,
                      fx_cold (&fx));
      g_assert_cmpfloat (share, >, 0.9);
      fx_clear (&fx);
    }
}

/* 70 nodes that choose at once by the same news all send to the server that
   reported the best figure last.  */
static void
test_herd (void)
{
  static const double paces[] = { 1, 1, 1, 1 };
  struct fx fx;
  unsigned sum = 0;

  fx_init (&fx, paces, 4, 1);
  fx_share_news (&fx, 1);
  for (unsigned n = 0; n < FX_NODES; n++)
    for (unsigned e = 1; e < 4; e++)
      fx.views[n].replicas[e].running = 3;
  for (unsigned n = 0; n < FX_NODES; n++)
    fx_request (&fx, n, 0);
  for (unsigned e = 0; e < 4; e++)
    {
      g_test_message ("e%u: %u", e, fx.engines[e].requests);
      sum += fx.engines[e].requests;
    }
  g_assert_cmpuint (sum, ==, FX_NODES);
  g_assert_cmpuint (fx.engines[0].requests, <, FX_NODES / 2);
  g_assert_cmpuint (fx.engines[0].requests, >=, FX_NODES / 4);
  fx_clear (&fx);
}

/* Requests of 4 s, RATE a second, with one prefix that nobody has sent before.
   Returns the share in time; *MOST is the share of one server.  */
static double
run_hot (guint32 seed, double rate, double *most)
{
  struct fx fx;
  double in_time;

  *most = 0;
  fx_init (&fx, uneven, 4, seed);
  fx.rate = rate;
  fx.long_share = 1;
  fx.subjects = 2;
  fx_run (&fx, 4);
  fx_drain (&fx);
  for (unsigned e = 0; e < 4; e++)
    *most = MAX (*most, (double)fx.engines[e].requests / fx.requests);
  in_time = (double)fx.in_time / fx.requests;
  g_assert_cmpuint (fx_cold (&fx), <=, 4);
  fx_clear (&fx);
  return in_time;
}

/* A prefix becomes hot within a second at 70 nodes.  Its home serves what it
   can in time, and other servers the rest.  */
static void
test_hot_prefix (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      double most;
      double in_time = run_hot (seed, 18, &most);

      g_test_message ("seed %u, 18/s: %.2f in time, %.2f at one", seed,
                      in_time, most);
      g_assert_cmpfloat (in_time, >=, 0.9);
      in_time = run_hot (seed, 26, &most);
      g_test_message ("seed %u, 26/s: %.2f in time, %.2f at one", seed,
                      in_time, most);
      g_assert_cmpfloat (most, <, 0.85);
    }
}

/* A slow server that always tells the best figures gets no more than others
   once its first answers have come.  */
static void
test_liar (void)
{
  static const double paces[] = { 1.2, 1, 1, 1 };

  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct fx fx;
      double share;

      fx_init (&fx, paces, 4, seed);
      fx.engines[0].told = 0.3;
      fx.rate = 12;
      fx_warm_up (&fx);
      share = fx_run (&fx, 50);
      g_test_message ("seed %u: %.3f in time; liar %u of %u, ratio %.2f", seed,
                      share, fx.engines[0].requests, fx.requests,
                      fx.engines[0].heard.first.value);
      g_assert_cmpuint (fx.engines[0].requests * 100, <, 40 * fx.requests);
      g_assert_cmpfloat (share, >, 0.85);
      fx_clear (&fx);
    }
}

/* Without news of loads the choice does not lean on the last ones for ever. */
static void
test_lost_news (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct fx fx;
      double share;

      fx_init (&fx, uneven, 4, seed);
      fx.rate = 9;
      fx_run (&fx, 5);
      fx.news_lost = true;
      fx.requests = fx.in_time = 0;
      share = fx_run (&fx, 40);
      g_test_message ("seed %u: %.3f in time", seed, share);
      g_assert_cmpfloat (share, >, 0.9);
      fx_clear (&fx);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace-choice/unpaced", test_unpaced);
  g_test_add_func ("/pace-choice/uneven", test_uneven);
  g_test_add_func ("/pace-choice/small-caches", test_small_caches);
  g_test_add_func ("/pace-choice/herd", test_herd);
  g_test_add_func ("/pace-choice/hot-prefix", test_hot_prefix);
  g_test_add_func ("/pace-choice/liar", test_liar);
  g_test_add_func ("/pace-choice/lost-news", test_lost_news);
  return g_test_run ();
}
