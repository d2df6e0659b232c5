/* How long callers wait, as observed.  */

#include <glib.h>
#include "patience.h"
#include "ts.h"

struct fixture
{
  struct patience patience;
  GRand *rand;
  int64_t ms;
};

static void
set_up (struct fixture *f)
{
  *f = (struct fixture){ .rand = g_rand_new_with_seed (1), .ms = 1000 };
}

static void
leave (struct fixture *f, int64_t after_ms)
{
  f->ms += 100;
  patience_left (&f->patience, ts_from_ms (after_ms), ts_from_ms (f->ms));
}

static int64_t
estimate_ms (const struct fixture *f)
{
  return ts_to_ms (patience_estimate (&f->patience, ts_from_ms (f->ms)));
}

/* Callers that leave after 2 s although they state 12 s: what starts later is
   in vain.  */
static void
test_all_alike (void)
{
  struct fixture f;

  set_up (&f);
  for (int i = 0; i < PATIENCE_AGREE - 1; i++)
    leave (&f, 2000 + i);
  g_assert_cmpint (estimate_ms (&f), ==, 0);
  leave (&f, 2003);
  g_assert_cmpint (estimate_ms (&f), >=, 2000);
  g_assert_cmpint (estimate_ms (&f), <=, 2005);
  g_rand_free (f.rand);
}

/* Guards against a time that is learned from callers who leave for reasons of
   their own, whenever that is.  */
static void
test_at_random (void)
{
  struct fixture f;

  set_up (&f);
  for (int i = 0; i < 1000; i++)
    {
      leave (&f, g_rand_int_range (f.rand, 100, 12000));
      g_assert_cmpint (estimate_ms (&f), ==, 0);
    }
  g_rand_free (f.rand);
}

/* One caller who waited longer, and was served, shows that others may.  */
static void
test_one_waits_longer (void)
{
  struct fixture f;

  set_up (&f);
  patience_served (&f.patience, ts_from_ms (3000), ts_from_ms (f.ms));
  for (int i = 0; i < PATIENCE_SAMPLES; i++)
    leave (&f, 2000);
  g_assert_cmpint (estimate_ms (&f), ==, 0);
  g_rand_free (f.rand);
}

/* What was learned is forgotten, as callers change.  */
static void
test_forgotten (void)
{
  struct fixture f;

  set_up (&f);
  for (int i = 0; i < PATIENCE_SAMPLES; i++)
    leave (&f, 2000);
  g_assert_cmpint (estimate_ms (&f), ==, 2000);
  f.ms += (PATIENCE_TTL_S + 1) * 1000;
  g_assert_cmpint (estimate_ms (&f), ==, 0);
  g_rand_free (f.rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/patience/all-alike", test_all_alike);
  g_test_add_func ("/patience/at-random", test_at_random);
  g_test_add_func ("/patience/one-waits-longer", test_one_waits_longer);
  g_test_add_func ("/patience/forgotten", test_forgotten);
  return g_test_run ();
}
