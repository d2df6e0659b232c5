/* Speeds of models as observed: large and small ones, and hostile samples.  */

#include <math.h>
#include <glib.h>
#include "modelspeed.h"

/* A small and a large model with as many tokens were planned alike.  */
static void
test_sizes (void)
{
  struct modelspeed *speed = modelspeed_new ();

  for (int i = 0; i < 200; i++)
    {
      modelspeed_add (speed, "small", 0.5);
      modelspeed_add (speed, "large", 1.5);
    }
  g_assert_cmpfloat (modelspeed_factor (speed, "small"), <, 0.7);
  g_assert_cmpfloat (modelspeed_factor (speed, "large"), >, 1.4);
  g_assert_cmpfloat (modelspeed_factor (speed, "other"), ==, 1);
  modelspeed_free (speed);
}

/* Few samples, or some requests that were held up, decide nothing.  */
static void
test_few_samples (void)
{
  struct modelspeed *speed = modelspeed_new ();

  for (int i = 0; i < MODELSPEED_MIN_COUNT - 1; i++)
    modelspeed_add (speed, "a", 4);
  g_assert_cmpfloat (modelspeed_factor (speed, "a"), ==, 1);
  for (int i = 0; i < 200; i++)
    {
      modelspeed_add (speed, "b", i % 10 == 0 ? 1000 : 1);
      modelspeed_add (speed, "c", 1);
    }
  g_assert_cmpfloat (modelspeed_factor (speed, "b"), <, 1.3);
  modelspeed_free (speed);
}

/* A mistaken sample must not make a factor infinite, 0 or not a number.  */
static void
test_bad_samples (void)
{
  const double bad[] = { 0, -1, NAN, INFINITY, -INFINITY };
  struct modelspeed *speed = modelspeed_new ();

  for (int i = 0; i < 100; i++)
    {
      modelspeed_add (speed, "a", bad[i % 5]);
      modelspeed_add (speed, "b", i % 2 == 0 ? 1e300 : 1e-300);
    }
  g_assert_cmpfloat (modelspeed_factor (speed, "a"), ==, 1);
  g_assert_cmpfloat (modelspeed_factor (speed, "b"), >=, MODELSPEED_MIN);
  g_assert_cmpfloat (modelspeed_factor (speed, "b"), <=, MODELSPEED_MAX);
  modelspeed_free (speed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/modelspeed/sizes", test_sizes);
  g_test_add_func ("/modelspeed/few-samples", test_few_samples);
  g_test_add_func ("/modelspeed/bad-samples", test_bad_samples);
  return g_test_run ();
}
