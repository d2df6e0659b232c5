#include <glib.h>
#include "reach.h"
#include "ts.h"

static struct timespec
at (int64_t ms)
{
  return ts_from_ms (1000000 + ms);
}

/* The backoff doubles up to its maximum, allows one attempt each time it
   expires, and is ended by a response.  */
static void
test_backoff (void)
{
  struct reach *reach = reach_new ();
  int64_t now = 0;
  int64_t backoff_ms = REACH_BACKOFF_MIN_MS;

  g_assert_false (reach_backing_off (reach, "e", at (now)));
  for (int i = 0; i < 6; i++)
    {
      reach_connect_failed (reach, "e", at (now));
      reach_connect_failed (reach, "e", at (now));
      g_assert_true (
          reach_backing_off (reach, "e", at (now + backoff_ms - 1)));
      now += backoff_ms;
      g_assert_false (reach_backing_off (reach, "e", at (now)));
      g_assert_true (reach_backing_off (reach, "e", at (now)));
      now += backoff_ms;
      backoff_ms = MIN (backoff_ms * 2, REACH_BACKOFF_MAX_MS);
    }
  reach_answered (reach, "e", ts_from_ms (5), at (now));
  g_assert_false (reach_backing_off (reach, "e", at (now)));
  g_assert_false (reach_backing_off (reach, "e", at (now)));
  reach_free (reach);
}

static void
test_first_byte_timeout (void)
{
  struct reach *reach = reach_new ();

  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "e"), ==,
                   REACH_FIRST_BYTE_MAX_MS);
  reach_answered (reach, "e", ts_from_ms (2), at (0));
  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "e"), ==,
                   REACH_FIRST_BYTE_MIN_MS);
  for (int i = 0; i < 100; i++)
    reach_answered (reach, "e", ts_from_ms (100), at (0));
  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "e"), >, 700);
  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "e"), <=, 800);
  for (int i = 0; i < 200; i++)
    reach_answered (reach, "slow", ts_from_ms (9000), at (0));
  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "slow"), ==, 18000);
  g_assert_false (reach_needs_new_connection (reach, "e", at (0)));
  reach_stalled (reach, "e", at (0));
  g_assert_true (
      reach_needs_new_connection (reach, "e", at (REACH_STALL_MS - 1)));
  g_assert_false (
      reach_needs_new_connection (reach, "e", at (REACH_STALL_MS)));
  reach_clean (reach, at (REACH_EXPIRE_MS + 1));
  g_assert_cmpint (reach_first_byte_timeout_ms (reach, "e"), ==,
                   REACH_FIRST_BYTE_MAX_MS);
  reach_free (reach);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reach/backoff", test_backoff);
  g_test_add_func ("/reach/first-byte-timeout", test_first_byte_timeout);
  return g_test_run ();
}
