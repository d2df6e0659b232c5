#include <glib.h>
#include "throttle.h"
#include "ts.h"

#define REST_US 100

struct throttle_case
{
  const char *name;
  size_t items;
  int64_t interval_us; /* between requests, for one second */
  unsigned runs_min;   /* limits of the number of runs */
  unsigned runs_max;
};

/* Number of runs when runs are requested periodically for one second.  */
static unsigned
count_runs (const struct throttle_case *c)
{
  struct throttle throttle = { 0 };
  struct timespec due = { 0 };
  bool requested = false;
  unsigned n = 0;

  for (int64_t us = 0; us < 1000000; us += 100)
    {
      struct timespec now = ts_from_ns ((1000000 + us) * 1000);

      if (us % c->interval_us == 0)
        {
          due = requested ? ts_min (due, throttle_next_run (&throttle, now))
                          : throttle_next_run (&throttle, now);
          requested = true;
        }
      if (!requested || ts_before (now, due))
        continue;
      requested = false;
      throttle_run_done (&throttle, c->items, REST_US, now);
      n++;
    }
  return n;
}

static void
test_share (void)
{
  static const struct throttle_case cases[] = {
    { "demand reports of 34 nodes, 140 engines", 140, 1500, 60, 72 },
    { "demand reports of 5 nodes, 10 engines", 10, 10000, 100, 100 },
    { "demand reports of 400 nodes, 1600 engines", 1600, 200, 5, 7 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned n = count_runs (&cases[i]);

      g_test_message ("%s: %u", cases[i].name, n);
      g_assert_cmpuint (n, >=, cases[i].runs_min);
      g_assert_cmpuint (n, <=, cases[i].runs_max);
    }
}

static void
test_single (void)
{
  struct throttle throttle = { 0 };
  struct timespec now = ts_from_ms (5000);

  g_assert_cmpint (ts_cmp (throttle_next_run (&throttle, now), now), ==, 0);
  throttle_run_done (&throttle, 140, REST_US, now);
  g_assert_cmpint (ts_to_ms (throttle_next_run (&throttle, now)), ==, 5014);
  now = ts_from_ms (5014);
  g_assert_cmpint (ts_cmp (throttle_next_run (&throttle, now), now), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/throttle/share", test_share);
  g_test_add_func ("/throttle/single", test_single);
  return g_test_run ();
}
