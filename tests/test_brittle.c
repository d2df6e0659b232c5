/* How much of a brittle server a node may use.  */

#include <glib.h>
#include "brittle.h"
#include "ts.h"

#define NODES 5

static const struct brittle_server idle
    = { .id = "s1", .service = "app", .slots = 64 };

static bool
may_send (const struct brittle *brittle, const char *id, unsigned slots,
          unsigned in_flight, int64_t ms)
{
  struct brittle_server server
      = { .id = id, .service = "app", .slots = slots, .in_flight = in_flight };

  return brittle_may_send (brittle, &server, NODES, ts_from_ms (ms));
}

static void
test_part (void)
{
  struct brittle *brittle = brittle_new ();

  g_assert_true (may_send (brittle, "s1", 64, 1000, 0));
  brittle_heard (brittle, &idle, 4, false, NODES, ts_from_ms (0));
  g_assert_true (may_send (brittle, "s1", 64, 11, 0));
  g_assert_false (may_send (brittle, "s1", 64, 12, 0));
  g_assert_true (may_send (brittle, "s1", 2, 0, 0));
  g_assert_false (may_send (brittle, "s1", 2, 1, 0));
  brittle_heard (brittle, &idle, -1, false, NODES, ts_from_ms (0));
  g_assert_false (may_send (brittle, "s1", 64, 12, 0));
  brittle_heard (brittle, &idle, 0, false, NODES, ts_from_ms (0));
  g_assert_true (may_send (brittle, "s1", 64, 1000, 0));
  brittle_free (brittle);
}

/* All nodes together cause fewer rejections a second than the server names. */
static void
test_pause (void)
{
  struct brittle *brittle = brittle_new ();
  unsigned rejected = 0;

  for (int64_t ms = 0; ms < 100000; ms += 10)
    if (may_send (brittle, "s1", 64, 0, ms))
      {
        rejected++;
        brittle_heard (brittle, &idle, 4, true, NODES, ts_from_ms (ms));
      }
  g_assert_cmpuint (rejected * NODES, <=, 4 * 100);
  g_assert_cmpuint (rejected * NODES, >=, 100);
  brittle_free (brittle);
}

/* Guards against a server that has just started, of which no node knows yet
   that it is brittle, and that gets the requests of all.  */
static void
test_new_server (void)
{
  struct brittle *brittle = brittle_new ();

  brittle_heard (brittle, &idle, 4, true, NODES, ts_from_ms (0));
  g_assert_false (may_send (brittle, "s2", 64, 12, 0));
  g_assert_true (may_send (brittle, "s2", 64, 0, 0));
  g_assert_false (may_send (brittle, "s1", 64, 0, 0));
  brittle_forget (brittle, "s1");
  g_assert_true (may_send (brittle, "s1", 64, 0, 0));
  brittle_free (brittle);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/brittle/part", test_part);
  g_test_add_func ("/brittle/pause", test_pause);
  g_test_add_func ("/brittle/new-server", test_new_server);
  return g_test_run ();
}
