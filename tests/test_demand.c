#include <string.h>
#include <glib.h>
#include "ts.h"
#include "demand.h"

struct seen
{
  const char *target; /* not copied, like the strings of a message */
  unsigned waiting;
  unsigned calls;
  unsigned count;
  struct timespec deadline;
};

static void
record (void *user, struct demand *demand)
{
  struct seen *seen = user;

  seen->target = demand->target;
  seen->waiting = demand->waiting;
  seen->calls = demand->calls;
  seen->deadline = demand->deadline;
  seen->count++;
  demand->changed = false;
  demand->calls = 0;
}

static void
test_sum (void)
{
  struct demand_table *table = demand_new ();
  struct seen seen = { 0 };

  demand_request_arrived (table, "m");
  demand_set (table, 0, "m", 2, ts_from_ms (900), 3);
  demand_set (table, 1, "m", 1, ts_from_ms (500), 1);
  demand_each (table, record, &seen);
  g_assert_cmpuint (seen.waiting, ==, 3);
  g_assert_cmpuint (seen.calls, ==, 1);
  g_assert_cmpint (ts_to_ms (seen.deadline), ==, 500);
  demand_set (table, 1, "m", 0, ts_from_ms (0), 0);
  demand_each (table, record, &seen);
  g_assert_cmpuint (seen.waiting, ==, 2);
  g_assert_cmpint (ts_to_ms (seen.deadline), ==, 900);
  demand_free (table);
}

/* Strings passed by demand_each stay valid until demand_prune.  */
static void
test_string_lifetime (void)
{
  struct demand_table *table = demand_new ();
  struct seen seen = { 0 };

  demand_request_arrived (table, "some-target");
  demand_each (table, record, &seen);
  g_assert_cmpstr (seen.target, ==, "some-target");
  demand_prune (table);
  seen.count = 0;
  demand_each (table, record, &seen);
  g_assert_cmpuint (seen.count, ==, 0);
  demand_set (table, 0, "some-target", 1, ts_from_ms (1), 0);
  demand_each (table, record, &seen);
  demand_prune (table);
  demand_each (table, record, &seen);
  g_assert_cmpuint (seen.count, ==, 2);
  demand_free (table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/demand/sum", test_sum);
  g_test_add_func ("/demand/string-lifetime", test_string_lifetime);
  return g_test_run ();
}
