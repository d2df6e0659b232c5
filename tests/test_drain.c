/* What a node that stops still accepts and sends.  */

#include <glib.h>
#include "drain.h"
#include "ts.h"

#define START_MS 1000
#define LONG_DRAIN_MS 20000

static struct drain
drain_of (int64_t ms)
{
  return (struct drain){ .started_at = ts_from_ms (START_MS), .ms = ms };
}

static struct drain_request
request_of (int64_t deadline_ms, int64_t usual_ms)
{
  return (struct drain_request){ .deadline
                                 = ts_from_ms (START_MS + deadline_ms),
                                 .usual = ts_from_ms (usual_ms) };
}

static bool
accepts (const struct drain *drain, int64_t at_ms, int64_t deadline_ms,
         int64_t usual_ms)
{
  struct drain_request request = request_of (deadline_ms, usual_ms);

  return drain_accepts (drain, &request, ts_from_ms (START_MS + at_ms));
}

/* Guards against requests that are accepted in a planned stop although they
   are likely to be cut at its end.  */
static void
test_too_long (void)
{
  struct drain drain = drain_of (7200);

  g_assert_true (accepts (&drain, 0, 30000, 0));
  g_assert_true (accepts (&drain, 0, 30000, 7000));
  g_assert_false (accepts (&drain, 1000, 30000, 7000));
  g_assert_true (accepts (&drain, 1000, 7200, 7000));
}

/* Guards against requests sent later than 3 s after the signal that the end of
   a long grace period cuts.  */
static void
test_late (void)
{
  struct drain drain = drain_of (LONG_DRAIN_MS);

  g_assert_true (accepts (&drain, 2700, 60000, 0));
  g_assert_false (accepts (&drain, 3000, 60000, 0));
  g_assert_false (accepts (&drain, 3000, 60000, 1000));
  g_assert_true (accepts (&drain, 3000, LONG_DRAIN_MS, 1000));
  g_assert_false (accepts (&drain, 9000, LONG_DRAIN_MS, 1000));
}

/* Guards against waiting requests that are sent to a server too late in a
   planned stop.  */
static void
test_send (void)
{
  struct drain drain = drain_of (7200);
  struct drain_request slow = request_of (30000, 4000);
  struct drain_request fast = request_of (30000, 100);
  struct timespec at = ts_from_ms (START_MS + 3500);

  g_assert_false (drain_may_send (&drain, &slow, at));
  g_assert_true (drain_may_send (&drain, &fast, at));
  at = ts_add_ms (at, 1000);
  g_assert_false (drain_may_send (&drain, &fast, at));
  drain.started_at = (struct timespec){ 0 };
  g_assert_true (drain_may_send (&drain, &slow, at));
}

/* A few requests that took long do not make the others wait elsewhere.  */
static void
test_duration (void)
{
  struct duration duration = { 0 };

  for (int i = 0; i < DURATION_SAMPLES - 1; i++)
    duration_add (&duration, ts_from_ms (i % 5 == 0 ? 9000 : 100));
  g_assert_true (ts_is_zero (duration_usual (&duration)));
  duration_add (&duration, ts_from_ms (200));
  g_assert_cmpint (ts_to_ms (duration_usual (&duration)), ==, 100);
  for (int i = 0; i < DURATION_SAMPLES / 2; i++)
    duration_add (&duration, ts_from_ms (9000));
  g_assert_cmpint (ts_to_ms (duration_usual (&duration)), ==, 9000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/drain/too-long", test_too_long);
  g_test_add_func ("/drain/late", test_late);
  g_test_add_func ("/drain/send", test_send);
  g_test_add_func ("/drain/duration", test_duration);
  return g_test_run ();
}
