/* Formulas of the planning by delay: each test names the load.  */

#include <glib.h>
#include "planner_delay.h"

#define SLOW 1.2
#define FAST 0.55

static const struct planner_delay_work no_work;

/* Requests of 9,190 tokens, most of them shared, with this objective.  */
static struct planner_delay_requests
long_prompts (double objective_s)
{
  struct planner_delay_requests requests = { .count = 0 };
  struct planner_delay_kind kind
      = { .count = 20,
          .tokens = planner_delay_tokens (9190, 6300),
          .answer_tokens = 20,
          .objective_s = objective_s };

  planner_delay_add (&requests, &kind);
  return requests;
}

/* PER_S of REQUESTS a second.  */
static void
add_work (struct planner_delay_work *work,
          const struct planner_delay_requests *requests, double per_s)
{
  struct planner_delay_work unit = planner_delay_unit (requests);

  planner_delay_add_work (work, &unit, per_s);
}

static struct planner_delay_requests
chats (void)
{
  struct planner_delay_requests requests = { .count = 0 };
  struct planner_delay_kind kind = { .count = 20,
                                     .tokens = 826,
                                     .answer_tokens = 290,
                                     .objective_s = 0.5,
                                     .gap_s = 0.5,
                                     .priority = 1 };

  planner_delay_add (&requests, &kind);
  return requests;
}

static unsigned
replicas (const struct planner_delay_requests *requests, double per_s,
          double pace)
{
  return planner_delay_replicas (requests, per_s, &no_work, pace, 1);
}

/* One replica was kept for each model, because by throughput it sufficed.  */
static void
test_objective_decides (void)
{
  struct planner_delay_requests strict = long_prompts (0.8);
  struct planner_delay_requests loose = long_prompts (6);

  g_assert_cmpuint (replicas (&strict, 0, SLOW), ==, 0);
  g_assert_cmpuint (replicas (&strict, 0.2, SLOW), ==, 1);
  g_assert_cmpuint (replicas (&strict, 4, SLOW), >, 1);
  g_assert_cmpuint (replicas (&strict, 4, SLOW), >,
                    replicas (&loose, 4, SLOW));
}

/* Fewer replicas are needed at quick engines.  */
static void
test_pace_decides (void)
{
  struct planner_delay_requests strict = long_prompts (0.8);

  g_assert_cmpuint (replicas (&strict, 8, FAST) * 3, <,
                    replicas (&strict, 8, SLOW) * 2);
}

/* Chats wait behind the long prompts of another model on the same engine.  */
static void
test_other_work (void)
{
  struct planner_delay_requests chat = chats ();
  struct planner_delay_requests strict = long_prompts (0.8);
  struct planner_delay_work work = no_work;
  double alone = planner_delay_ratio (&chat, &work, SLOW);

  add_work (&work, &strict, 3);
  g_assert_cmpfloat (alone, <, 1);
  g_assert_cmpfloat (planner_delay_ratio (&chat, &work, SLOW), >, 1);
}

/* Streams pause too long at an engine that mostly reads prompts.  */
static void
test_pauses (void)
{
  struct planner_delay_requests chat = chats ();
  struct planner_delay_work work = no_work;

  chat.kinds[0].objective_s = 60;
  add_work (&work, &chat, 1);
  g_assert_cmpfloat (planner_delay_ratio (&chat, &work, SLOW), <, 1);
  work.read_s = 0.7;
  g_assert_cmpfloat (planner_delay_ratio (&chat, &work, SLOW), >, 1);
}

/* Guards against figures that are infinite or fall when an engine is
   overloaded: a place there must still cost more than elsewhere.  */
static void
test_overload_grows (void)
{
  struct planner_delay_requests chat = chats ();
  struct planner_delay_work unit = planner_delay_unit (&chat);
  double last_s = 0;

  for (double per_s = 0.5; per_s < 1e4; per_s *= 2)
    {
      struct planner_delay_work work = no_work;
      double delay_s;

      add_work (&work, &chat, per_s);
      delay_s = planner_delay_s (&unit, &work, SLOW);
      g_assert_cmpfloat (delay_s, >, last_s);
      g_assert_cmpfloat (delay_s, <, 1e9);
      last_s = delay_s;
    }
}

/* An objective that no engine can meet must not cause endless replicas.  */
static void
test_impossible_objective (void)
{
  struct planner_delay_requests strict = long_prompts (0.001);

  g_assert_cmpuint (replicas (&strict, 0.05, SLOW), <=, 2);
}

/* Objectives that the routes give up are forgotten; the strictest that is
   still asked for decides.  */
static void
test_kinds (void)
{
  struct planner_delay_requests requests = long_prompts (0.3);
  struct planner_delay_kind kind
      = { .count = 1, .tokens = 826, .objective_s = 10, .priority = 1 };
  double strict = planner_delay_ratio (&requests, &no_work, 1);

  g_assert_cmpfloat (planner_delay_weight (&requests), ==, 10);
  planner_delay_add (&requests, &kind);
  g_assert_cmpfloat (planner_delay_ratio (&requests, &no_work, 1), ==, strict);
  for (int i = 0; i < 2000; i++)
    planner_delay_add (&requests, &kind);
  g_assert_cmpfloat (planner_delay_ratio (&requests, &no_work, 1), <,
                     strict / 10);
  g_assert_cmpfloat (planner_delay_weight (&requests), <, 1.1);
  for (int i = 0; i < 100; i++)
    {
      kind.objective_s = i;
      planner_delay_add (&requests, &kind);
    }
  g_assert_cmpuint (requests.used, ==, PLANNER_DELAY_KINDS);
}

/* Requests without token counts.  */
static void
test_unknown_tokens (void)
{
  g_assert_cmpfloat (planner_delay_tokens (0, 0), >, 0);
  g_assert_cmpfloat (planner_delay_tokens (100, 1000), >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/planner-delay/objective", test_objective_decides);
  g_test_add_func ("/planner-delay/pace", test_pace_decides);
  g_test_add_func ("/planner-delay/other-work", test_other_work);
  g_test_add_func ("/planner-delay/pauses", test_pauses);
  g_test_add_func ("/planner-delay/overload", test_overload_grows);
  g_test_add_func ("/planner-delay/impossible", test_impossible_objective);
  g_test_add_func ("/planner-delay/kinds", test_kinds);
  g_test_add_func ("/planner-delay/unknown-tokens", test_unknown_tokens);
  return g_test_run ();
}
