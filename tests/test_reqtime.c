/* The mean share of an engine that a request takes.  */

#include <glib.h>
#include "reqtime.h"

#define REQUESTS 1000

static double
mean_after (uint64_t prompt_tokens, double duration_s, unsigned slots)
{
  struct reqtime_sample sample = { .prompt_tokens = prompt_tokens,
                                   .duration_s = duration_s,
                                   .slots = slots };
  struct reqtime reqtime;

  reqtime_init (&reqtime);
  for (int i = 0; i < REQUESTS; i++)
    reqtime_add (&reqtime, &sample);
  return reqtime.mean_s;
}

/* Short prompts and long answers: the slots are what is short.  */
static void
test_slots (void)
{
  double mean_s = mean_after (700, 1.6, 32);

  g_assert_cmpfloat (mean_s, >, 0.049);
  g_assert_cmpfloat (mean_s, <, 0.06);
}

/* Long prompts and short answers: reading them is.  */
static void
test_prompts (void)
{
  double mean_s = mean_after (9000, 0.5, 64);

  g_assert_cmpfloat (mean_s, >, 0.2);
  g_assert_cmpfloat (mean_s, <, 0.25);
}

/* Guards against a plan that rests on a handful of requests, or on an engine
   that does not tell its slots.  */
static void
test_few (void)
{
  struct reqtime_sample sample = { .duration_s = 60, .slots = 1 };
  struct reqtime reqtime;

  reqtime_init (&reqtime);
  sample.slots = 0;
  reqtime_add (&reqtime, &sample);
  g_assert_cmpfloat (reqtime.mean_s, ==, REQTIME_DEFAULT_S);
  sample.slots = 100;
  reqtime_add (&reqtime, &sample);
  g_assert_cmpfloat (reqtime.mean_s, <, 2 * REQTIME_DEFAULT_S);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reqtime/slots", test_slots);
  g_test_add_func ("/reqtime/prompts", test_prompts);
  g_test_add_func ("/reqtime/few", test_few);
  return g_test_run ();
}
