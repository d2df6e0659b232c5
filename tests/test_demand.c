#include <string.h>
#include <glib.h>
#include "ts.h"
#include "demand.h"

struct seen
{
  const char *target; /* borrowed, as a message would */
  unsigned waiting;
  unsigned calls;
  unsigned count;
  struct timespec deadline;
};

static void
tell (void *user, struct demand *want)
{
  struct seen *seen = user;

  seen->target = want->target;
  seen->waiting = want->waiting;
  seen->calls = want->calls;
  seen->deadline = want->deadline;
  seen->count++;
  want->changed = false;
  want->calls = 0;
}

static void
test_sum (void)
{
  struct demand_table *wants = demand_new ();
  struct seen seen = { 0 };

  demand_request_arrived (wants, "m");
  demand_set (wants, 0, "m", 2, ts_from_ms (900), 3);
  demand_set (wants, 1, "m", 1, ts_from_ms (500), 1);
  demand_each (wants, tell, &seen);
  g_assert_cmpuint (seen.waiting, ==, 3);
  g_assert_cmpuint (seen.calls, ==, 1);
  g_assert_cmpint (ts_to_ms (seen.deadline), ==, 500);
  demand_set (wants, 1, "m", 0, ts_from_ms (0), 0);
  demand_each (wants, tell, &seen);
  g_assert_cmpuint (seen.waiting, ==, 2);
  g_assert_cmpint (ts_to_ms (seen.deadline), ==, 900);
  demand_free (wants);
}

/* What was told may be used until it is pruned.  */
static void
test_borrowed (void)
{
  struct demand_table *wants = demand_new ();
  struct seen seen = { 0 };

  demand_request_arrived (wants, "some-target");
  demand_each (wants, tell, &seen);
  g_assert_cmpstr (seen.target, ==, "some-target");
  demand_prune (wants);
  seen.count = 0;
  demand_each (wants, tell, &seen);
  g_assert_cmpuint (seen.count, ==, 0);
  demand_set (wants, 0, "some-target", 1, ts_from_ms (1), 0);
  demand_each (wants, tell, &seen);
  demand_prune (wants);
  demand_each (wants, tell, &seen);
  g_assert_cmpuint (seen.count, ==, 2);
  demand_free (wants);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wants/sum", test_sum);
  g_test_add_func ("/wants/borrowed", test_borrowed);
  return g_test_run ();
}
