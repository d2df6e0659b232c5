#include <math.h>
#include <string.h>
#include <glib.h>
#include "delay.h"
#include "hints.h"
#include "pace.h"
#include "pick.h"
#include "returns.h"
#include "server_load.h"
#include "servers.h"
#include "spread.h"
#include "ts.h"

static struct timespec
at (double s)
{
  return ts_from_s (1000 + s);
}

/* A momentary figure replaces neither the drift nor, a second later, the
   estimate.  */
static void
test_moment (void)
{
  struct pace pace = { 0 };
  double s = 0;

  g_assert_cmpfloat (pace_lasting (&pace, at (0)), ==, 0);
  g_assert_cmpfloat (pace_moment (&pace, at (0)), ==, 0);
  for (; s < 10; s += 0.2)
    pace_report (&pace, 1.2, at (s));
  pace_report (&pace, 3, at (s));
  g_assert_cmpfloat (pace.drift, <, 1.3);
  g_assert_cmpfloat (pace_moment (&pace, at (s)), >, 0.5);
  g_assert_cmpfloat (pace_moment (&pace, at (s + 1)), <, 0.05);
  g_assert_cmpfloat (pace_over (1, 1, 0), ==, 2);
  g_assert_cmpfloat (pace_over (1, 1, 10), <, 1.1);
}

/* A machine that becomes slow for good is known within some seconds.  */
static void
test_drift (void)
{
  struct pace pace = { 0 };

  for (double s = 0; s < 10; s += 0.2)
    pace_report (&pace, 0.55, at (s));
  for (double s = 10; s < 20; s += 0.2)
    pace_report (&pace, 1.2, at (s));
  g_assert_cmpfloat (pace.drift, >, 1.05);
  g_assert_cmpfloat (pace.drift, <=, 1.2);
}

static void
test_bad_figures (void)
{
  static const double bad[] = { 0, -1, NAN, INFINITY, -INFINITY };
  struct pace pace = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      pace_report (&pace, bad[i], at (0));
      pace_adopt (&pace, bad[i], at (0));
      pace_observe (&pace.first, bad[i], at (0));
      pace_adopt_ratio (&pace.events, bad[i], at (0));
      g_assert_cmpfloat (pace_compare (bad[i], 1, 0), ==, 0);
    }
  g_assert_cmpfloat (pace.drift, ==, 0);
  g_assert_cmpfloat (pace_correction (&pace.first, at (0)), ==, 1);
  pace_report (&pace, 1e300, at (1));
  g_assert_cmpfloat (pace.drift, ==, PACE_MAX);
  pace_report (&pace, 1, at (0)); /* the clock of a late report */
  g_assert_true (isfinite (pace_moment (&pace, at (-5))));
}

/* A header that no server can mean must not be believed in part: a huge
   figure excludes its server, a wrapped one draws all requests there.  */
static void
test_header (void)
{
  static const char *const bad[] = {
    "",           "1",         "1,2",        "1,2,3,",
    "1,2,3,4,5",  "-1,2,3,4",  "1,2,3,-100", "4294967297,0,8",
    "1,2,3,nan",  "1,2,3,1e2", "1 2 3",      ",,,",
    "1,2,3,0x10", "1,,3,4",    "1,2,3;4",    "1,2,3,99999999999999999999999999"
  };
  struct server_load load;

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_test_message ("\"%s\"", bad[i]);
      g_assert_false (server_load_parse (bad[i], &load));
      g_assert_cmpfloat (load.pace, ==, 0);
    }
  g_assert_true (server_load_parse ("1,2,3", &load));
  g_assert_cmpuint (load.waiting, ==, 2);
  g_assert_cmpfloat (load.pace, ==, 0);
  g_assert_true (server_load_parse (" 1, 2, 64, 55 ", &load));
  g_assert_cmpfloat (load.pace, ==, 0.55);
  g_assert_true (server_load_parse ("1,2,3,0", &load));
  g_assert_cmpfloat (load.pace, ==, 0);
}

/* What requests took outweighs what the server tells, and is forgotten, so
   that it is tried again.  */
static void
test_observed (void)
{
  struct pace pace = { 0 };

  pace_report (&pace, 0.3, at (0));
  for (int i = 0; i < 20; i++)
    pace_observe (&pace.first, pace_compare (0.1, 0.4, 0), at (1));
  g_assert_cmpfloat (pace_lasting (&pace, at (1)), >, 1.1);
  g_assert_cmpfloat (pace_of_events (&pace, at (1)), ==, 0.3);
  g_assert_cmpfloat (pace_lasting (&pace, at (200)), <, 0.31);
  for (int i = 0; i < 100; i++)
    pace_observe (&pace.first, pace_compare (0.1, 1e9, 0), at (1));
  g_assert_cmpfloat (pace_correction (&pace.first, at (1)), <=,
                     PACE_OBSERVED_MAX);
}

/* At the loads measured with 26 requests running, 77 ms and 210 ms, so that a
   chat of 58 events at the slow one does not end within 15 s.  */
static void
test_stream (void)
{
  struct delay_server quick = { .load = { .running = 26, .queued = 1 },
                                .pace = 0.55,
                                .event_pace = 0.55 };
  struct delay_server slow
      = { .load = quick.load, .pace = 1.2, .event_pace = 1.2 };
  struct delay_server idle = { .pace = 1.2, .event_pace = 1.2 };
  struct delay_need chat = { .read_s = delay_read_s (826),
                             .objective_s = 0.5,
                             .gap_s = 0.5,
                             .events = 58,
                             .event_tokens = 5,
                             .left_s = 15 };
  struct delay_estimate a;
  struct delay_estimate b;

  delay_estimate (&quick, &chat, &a);
  delay_estimate (&slow, &chat, &b);
  g_assert_cmpfloat (a.event_s, >, 0.06);
  g_assert_cmpfloat (a.event_s, <, 0.1);
  g_assert_cmpfloat (b.event_s, >, 0.15);
  g_assert_cmpfloat (b.event_s, <, 0.25);
  g_assert_cmpfloat (b.overrun_s, >, 10 * a.overrun_s);
  g_assert_cmpfloat (b.pause_s, >, a.pause_s);
  delay_estimate (&idle, &chat, &b);
  g_assert_cmpfloat (b.event_s, <, a.event_s);
  g_assert_cmpfloat (b.late_s, <, 0.001);
}

/* Long prompts that wait delay all streams there.  */
static void
test_reading (void)
{
  struct delay_server calm
      = { .load = { .running = 5 }, .pace = 1.2, .event_pace = 1.2 };
  struct delay_server reading = calm;
  struct delay_need chat = { .read_s = delay_read_s (826),
                             .objective_s = 0.5,
                             .gap_s = 0.5,
                             .events = 58 };
  struct delay_estimate a;
  struct delay_estimate b;

  reading.load.queued = 6;
  delay_estimate (&calm, &chat, &a);
  delay_estimate (&reading, &chat, &b);
  g_assert_cmpfloat (b.first_s, >, a.first_s + 0.6);
  g_assert_cmpfloat (b.pause_s, >, 5 * a.pause_s);
}

/* Two servers, the first warm for PREFIX.  */
#define PREFIX 77

struct two
{
  struct route_engine engines[2];
  struct route_replica replicas[2];
  struct pick_request request;
  struct pick *pick;
};

static void
set_up (struct two *two)
{
  static char ids[2][4] = { "e0", "e1" };
  struct pick_options options = { .zone = "z", .seed = 1 };

  memset (two, 0, sizeof *two);
  two->pick = pick_new (&options);
  for (int i = 0; i < 2; i++)
    {
      two->engines[i] = (struct route_engine){
        .id = ids[i], .zone = (char *)"z", .born = 5, .refs = 1
      };
      two->replicas[i] = (struct route_replica){ .engine = &two->engines[i],
                                                 .slots = 8,
                                                 .reported_at = at (0),
                                                 .pace = 1,
                                                 .pace_events = 1,
                                                 .pace_told = 1 };
    }
  two->request = (struct pick_request){
    .replicas = two->replicas,
    .count = 2,
    .prefix = PREFIX,
    .by_delay = true,
    .prefix_s = delay_read_s (6300),
    .read_s = delay_read_s (9190),
    .objective_s = 0.8,
    .nodes = 70,
  };
  /* The first one is not the home, whose cache is trusted without news.  */
  while (hints_key ("e0", two->request.prefix)
         > hints_key ("e1", two->request.prefix))
    two->request.prefix++;
  pick_cached (two->pick, &two->engines[0], two->request.prefix, at (0));
}

/* Requests of 100 that go to the warm one.  */
static unsigned
to_warm (struct two *two, double s)
{
  unsigned n = 0;

  for (int i = 0; i < 100; i++)
    {
      struct pick_explanation why;

      n += pick_replica (two->pick, &two->request, at (s), &why) == 0;
    }
  return n;
}

/* A warm server that is full gets nothing while another is free; one with a
   long queue gets less than the other.  */
static void
test_warm_full (void)
{
  struct two two;

  set_up (&two);
  g_assert_cmpuint (to_warm (&two, 0), >, 40);
  two.replicas[0].queued = 7;
  g_assert_cmpuint (to_warm (&two, 0), <, 10);
  two.replicas[0].queued = 0;
  two.replicas[0].running = 8;
  g_assert_cmpuint (to_warm (&two, 0), ==, 0);
  pick_free (two.pick);
}

/* A server that has evicted the prefix, as told, as likely by what was sent
   there since, or by a restart, is not taken for a warm one.  */
static void
test_evicted (void)
{
  struct two two;
  unsigned warm;

  set_up (&two);
  warm = to_warm (&two, 0);
  pick_sent (two.pick, "e0", HINTS_CACHE_TOKENS / 20, 0, at (0));
  g_assert_cmpuint (to_warm (&two, 0), <, warm / 2);
  pick_free (two.pick);

  set_up (&two);
  pick_hint (two.pick, "e0", two.request.prefix, false, at (0.1));
  g_assert_cmpuint (to_warm (&two, 0.1), <, warm / 2);
  /* News that come late.  */
  pick_cached (two.pick, &two.engines[0], two.request.prefix, at (0.05));
  g_assert_cmpuint (to_warm (&two, 0.1), <, warm / 2);
  pick_free (two.pick);

  set_up (&two);
  two.engines[0].born = 6;
  g_assert_cmpuint (to_warm (&two, 0), <, warm / 2);
  pick_free (two.pick);
}

/* A server may tell that it runs nothing, against what this node knows to be
   in flight there.  */
static void
test_own_requests (void)
{
  struct two two;

  set_up (&two);
  two.request.prefix = 0;
  two.request.prefix_s = 0;
  two.replicas[0].pace = 0.5;
  g_assert_cmpuint (to_warm (&two, 0), >, 60);
  two.engines[0].inflight = 7;
  two.replicas[0].inflight_at_report = 7;
  g_assert_cmpuint (to_warm (&two, 0), <, 50);
  two.replicas[0].pace = 1;
  g_assert_cmpuint (to_warm (&two, 0), ==, 0);
  pick_free (two.pick);
}

/* A request that is merely late is sent; one that would end after its caller
   has left is not, and a stream's duration counts, as far as it is known.  */
static void
test_limit (void)
{
  g_assert_cmpfloat (delay_limit_left_s (10, 0), ==, 7);
  g_assert_cmpfloat (delay_limit_left_s (10, 1), ==, 7);
  g_assert_cmpfloat (delay_limit_left_s (10, 4), ==, 6);
  g_assert_cmpfloat (delay_limit_left_s (10, 1e9), ==, 5);
  g_assert_cmpfloat (delay_limit_left_s (0, 4), ==, 0);
  g_assert_cmpfloat (delay_limit_left_s (-3, 0), ==, 0);
}

static void
test_spread (void)
{
  const struct spread_option options[]
      = { { 1, 1 }, { INFINITY, 9 }, { 1, 3 }, { 2, 100 } };
  unsigned counts[4] = { 0 };

  g_assert_cmpint (spread_choose (NULL, 0, 1, 0.5), ==, -1);
  g_assert_cmpint (spread_choose (&options[1], 1, 1, 0.5), ==, -1);
  g_assert_cmpint (spread_choose (options, 4, 0, 0.9), ==, 0);
  for (int i = 0; i < 1000; i++)
    counts[spread_choose (options, 4, 0.5, i / 1000.0)]++;
  g_assert_cmpuint (counts[0], ==, 250);
  g_assert_cmpuint (counts[1], ==, 0);
  g_assert_cmpuint (counts[2], ==, 750);
  g_assert_cmpuint (counts[3], ==, 0);
}

/* Rejected requests that come back together are rejected again.  */
static void
test_returns (void)
{
  struct returns *returns = returns_new ();
  double last_s = 0;

  for (int i = 0; i < 20; i++)
    {
      double s = returns_next_s (returns, "m", 1, 0.1, at (0));

      g_assert_cmpfloat (s, >=, i == 0 ? 1 : last_s + 0.099);
      last_s = s;
    }
  g_assert_cmpfloat (last_s, <, 3);
  g_assert_cmpfloat (returns_next_s (returns, "n", 1, 0.1, at (0)), ==, 1);
  g_assert_cmpfloat (returns_next_s (returns, "m", 1, 0.1, at (60)), ==, 1);
  g_assert_cmpfloat (returns_next_s (returns, "m", 1, 1e9, at (60)), <=,
                     RETURNS_MAX_S);
  returns_free (returns);
}

static void
put (struct servers *servers, const char *id, int64_t born)
{
  const struct server_entry entry = { .id = (char *)id,
                                      .address = (char *)"127.0.0.1:1",
                                      .zone = (char *)"z",
                                      .service = (char *)"s",
                                      .slots = 8,
                                      .born = born };

  servers_put (servers, &entry);
}

/* What node A is told and observes reaches node B by way of the decider, from
   which B takes drift and ratios; an older decider tells neither, and then
   what B knows itself holds.  */
static void
test_shared (void)
{
  struct servers *a = servers_new ();
  struct servers *decider = servers_new ();
  struct servers *b = servers_new ();
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct peer_load));
  struct peer_load load;

  put (a, "e1", 1);
  put (decider, "e1", 1);
  put (b, "e1", 1);
  servers_report_load (a, "e1", 3, 2, at (0));
  servers_report_pace (a, "e1", 0.55, at (0));
  servers_observe_first (a, "e1", 4, at (0));
  servers_take_loads (a, false, loads);
  load = g_array_index (loads, struct peer_load, 0);
  g_assert_cmpuint (load.pace, ==, 550);
  g_assert_cmpuint (load.first_ratio, ==, 4000);
  servers_apply_load (decider, "e1", 3, 2, at (0.2));
  servers_apply_pace (decider, &load, false, at (0.2));
  g_array_set_size (loads, 0);
  servers_take_loads (decider, true, loads);
  load = g_array_index (loads, struct peer_load, 0);
  g_assert_cmpuint (load.pace, ==, 550);
  g_assert_cmpuint (load.first_ratio, >, 1200);
  g_assert_cmpuint (load.event_ratio, ==, 0);
  servers_apply_pace (b, &load, true, at (0.3));
  g_assert_cmpfloat (pace_lasting (&servers_find (b, "e1")->pace, at (0.3)), >,
                     0.65);
  load = (struct peer_load){ .server = (char *)"e1" };
  servers_apply_pace (b, &load, true, at (0.4));
  g_assert_cmpfloat (servers_find (b, "e1")->pace.drift, ==, 0.55);
  put (b, "e1", 2); /* a restarted server is another one */
  g_assert_cmpfloat (servers_find (b, "e1")->pace.drift, ==, 0);
  g_array_unref (loads);
  servers_free (a);
  servers_free (decider);
  servers_free (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace/moment", test_moment);
  g_test_add_func ("/pace/drift", test_drift);
  g_test_add_func ("/pace/bad-figures", test_bad_figures);
  g_test_add_func ("/pace/header", test_header);
  g_test_add_func ("/pace/observed", test_observed);
  g_test_add_func ("/pace/stream", test_stream);
  g_test_add_func ("/pace/reading", test_reading);
  g_test_add_func ("/pace/warm-full", test_warm_full);
  g_test_add_func ("/pace/evicted", test_evicted);
  g_test_add_func ("/pace/own-requests", test_own_requests);
  g_test_add_func ("/pace/limit", test_limit);
  g_test_add_func ("/pace/spread", test_spread);
  g_test_add_func ("/pace/returns", test_returns);
  g_test_add_func ("/pace/shared", test_shared);
  return g_test_run ();
}
