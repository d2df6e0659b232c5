#include <glib.h>
#include "throttle.h"
#include "ts.h"

#define REST_US 100

struct pace_case
{
  const char *pattern;
  size_t items;
  int64_t every_us; /* between asks, for a second */
  unsigned least;   /* rounds run */
  unsigned most;
};

/* Rounds that are run when asks come for a second.  */
static unsigned
rounds (const struct pace_case *c)
{
  struct throttle pace = { 0 };
  struct timespec due = { 0 };
  bool asked = false;
  unsigned n = 0;

  for (int64_t us = 0; us < 1000000; us += 100)
    {
      struct timespec now = ts_from_ns ((1000000 + us) * 1000);

      if (us % c->every_us == 0)
        {
          due = asked ? ts_min (due, throttle_next_run (&pace, now))
                      : throttle_next_run (&pace, now);
          asked = true;
        }
      if (!asked || ts_before (now, due))
        continue;
      asked = false;
      throttle_run_done (&pace, c->items, REST_US, now);
      n++;
    }
  return n;
}

static void
test_share (void)
{
  static const struct pace_case cases[] = {
    { "wants of 34 nodes, 140 engines", 140, 1500, 60, 72 },
    { "wants of 5 nodes, 10 engines", 10, 10000, 100, 100 },
    { "wants of 400 nodes, 1600 engines", 1600, 200, 5, 7 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned n = rounds (&cases[i]);

      g_test_message ("%s: %u", cases[i].pattern, n);
      g_assert_cmpuint (n, >=, cases[i].least);
      g_assert_cmpuint (n, <=, cases[i].most);
    }
}

static void
test_lone (void)
{
  struct throttle pace = { 0 };
  struct timespec now = ts_from_ms (5000);

  g_assert_cmpint (ts_cmp (throttle_next_run (&pace, now), now), ==, 0);
  throttle_run_done (&pace, 140, REST_US, now);
  g_assert_cmpint (ts_to_ms (throttle_next_run (&pace, now)), ==, 5014);
  now = ts_from_ms (5014);
  g_assert_cmpint (ts_cmp (throttle_next_run (&pace, now), now), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace/share", test_share);
  g_test_add_func ("/pace/lone", test_lone);
  return g_test_run ();
}
