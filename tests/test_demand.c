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

static void
record_kinds (void *user, struct demand *demand)
{
  *(struct demand *)user = *demand;
}

/* Chats and long prompts for one model are told apart, and no arrival is lost
   when there are more kinds than that.  */
static void
test_kinds (void)
{
  struct demand_table *table = demand_new ();
  struct demand_kind chat = { .objective_ms = 500, .prompt_tokens = 800 };
  struct demand_kind prompt
      = { .objective_ms = 800, .prompt_tokens = 9000, .shared_tokens = 6000 };
  struct demand seen;
  unsigned calls = 0;

  demand_request_arrived_as (table, "m", &chat);
  demand_request_arrived_as (table, "m", &prompt);
  demand_request_arrived_as (table, "m", &prompt);
  demand_each (table, record_kinds, &seen);
  g_assert_cmpuint (seen.calls, ==, 3);
  g_assert_cmpuint (seen.kind_count, ==, 2);
  g_assert_cmpuint (seen.kinds[0].prompt_tokens, ==, 800);
  g_assert_cmpuint (seen.kinds[1].calls, ==, 2);
  g_assert_cmpuint (seen.kinds[1].prompt_tokens, ==, 18000);
  g_assert_cmpuint (seen.kinds[1].shared_tokens, ==, 12000);
  for (unsigned i = 0; i < 10; i++)
    {
      chat.priority = i;
      demand_request_arrived_as (table, "m", &chat);
    }
  demand_each (table, record_kinds, &seen);
  for (unsigned i = 0; i < seen.kind_count; i++)
    calls += seen.kinds[i].calls;
  g_assert_cmpuint (seen.kind_count, ==, DEMAND_KINDS);
  g_assert_cmpuint (calls, ==, 13);
  g_assert_cmpuint (seen.calls, ==, 13);
  demand_free (table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/demand/sum", test_sum);
  g_test_add_func ("/demand/kinds", test_kinds);
  g_test_add_func ("/demand/string-lifetime", test_string_lifetime);
  return g_test_run ();
}
