/* When a configuration must not be used for what a newer one may forbid, such
   as a key that was removed.  */

#include <glib.h>
#include "confwatch.h"
#include "ts.h"

#define WITHIN_MS 3000

static struct timespec
at_ms (int64_t ms)
{
  return ts_add_ms ((struct timespec){ .tv_sec = 1000 }, ms);
}

static bool
outdated (const struct confwatch *watch, uint64_t version, int64_t woke_ms,
          int64_t now_ms)
{
  struct timespec woke_at
      = woke_ms != 0 ? at_ms (woke_ms) : (struct timespec){ 0 };

  return confwatch_is_outdated (watch, version, WITHIN_MS, woke_at,
                                at_ms (now_ms));
}

/* Guards against a node that serves removed keys although it knows of a newer
   version, and against one that refuses all keys while a newer version is on
   its way.  */
static void
test_newer_known (void)
{
  struct confwatch watch = { 0 };

  confwatch_answered (&watch, at_ms (0));
  confwatch_told (&watch, 1, 10, at_ms (0));
  g_assert_false (outdated (&watch, 1, 0, 100));
  confwatch_told (&watch, 2, 10, at_ms (100));
  confwatch_told (&watch, 2, 10, at_ms (1000));
  g_assert_false (outdated (&watch, 1, 0, 1500));
  g_assert_true (outdated (&watch, 1, 0, 1700));
  g_assert_false (outdated (&watch, 2, 0, 1700));
}

/* Guards against a node that serves removed keys because it stood still while
   they were removed.  */
static void
test_paused (void)
{
  struct confwatch watch = { 0 };

  confwatch_answered (&watch, at_ms (0));
  g_assert_false (outdated (&watch, 1, 2000, 2010));
  g_assert_true (outdated (&watch, 1, 9000, 9010));
  confwatch_answered (&watch, at_ms (9020));
  g_assert_false (outdated (&watch, 1, 9000, 9030));
}

/* Guards against a node that serves nobody while the store is away.  */
static void
test_store_away (void)
{
  struct confwatch watch = { 0 };

  confwatch_answered (&watch, at_ms (0));
  g_assert_false (outdated (&watch, 1, 0, 100000));
  g_assert_true (outdated (&watch, 1, 99000, 100000));
  g_assert_false (outdated (&watch, 1, 99000, 101000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/confwatch/newer-known", test_newer_known);
  g_test_add_func ("/confwatch/paused", test_paused);
  g_test_add_func ("/confwatch/store-away", test_store_away);
  return g_test_run ();
}
