/* Tests how tickets for servers with limits are issued.  */

#include <math.h>
#include <glib.h>
#include "bucket.h"
#include "ratelimit.h"
#include "ts.h"

#define SERVER "s"
#define STARTED_MS (-10000)
#define NODES_MAX 150
#define TRY_MS 50

static struct timespec
at_ms (int64_t ms)
{
  return ts_from_ms (1000000 + ms);
}

/* Node NAME, of COUNT nodes "n0", "n1" and so on, with links to the first
   LINKED of them.  OTHERS_SERVE: they may be homes.  */
static struct ratelimit *
new_node (const char *name, size_t count, size_t linked, bool others_serve)
{
  struct ratelimit *ratelimit = ratelimit_new (name);
  struct homes_node nodes[NODES_MAX];
  char names[NODES_MAX][8];

  for (size_t i = 0; i < count; i++)
    {
      bool self;

      g_snprintf (names[i], sizeof names[i], "n%zu", i);
      self = g_str_equal (names[i], name);
      nodes[i] = (struct homes_node){ .name = names[i],
                                      .linked = self || i < linked,
                                      .serves = self || others_serve };
    }
  ratelimit_set_nodes (ratelimit, nodes, count, at_ms (STARTED_MS));
  return ratelimit;
}

static void
hear (struct ratelimit *ratelimit, double per_s, int64_t ms)
{
  struct action_list actions;

  action_list_init (&actions);
  ratelimit_heard (ratelimit, SERVER, per_s, at_ms (ms), at_ms (ms), &actions);
  action_list_clear (&actions);
}

/* Number of actions of TYPE; removes all.  */
static unsigned
count (struct action_list *actions, enum ratelimit_action_type type)
{
  struct action *action;
  unsigned n = 0;

  while ((action = action_pop (actions)) != NULL)
    {
      n += action->type == (int)type;
      action_free (action);
    }
  return n;
}

/* A request wants a ticket, and goes away if it does not get one within
   WAIT_MS.  Returns whether it was sent.  */
static bool
try_within (struct ratelimit *ratelimit, int64_t ms, int64_t wait_ms)
{
  struct timespec end = at_ms (ms + wait_ms);
  struct action_list actions;
  struct ratelimit_verdict verdict;
  uint64_t ask;

  action_list_init (&actions);
  ask = ratelimit_want (ratelimit, SERVER, wait_ms, at_ms (ms), &actions);
  action_list_clear (&actions);
  verdict = ratelimit_check (ratelimit, SERVER, ask, end);
  ratelimit_unwant (ratelimit, SERVER, ask);
  return verdict.state == RATELIMIT_OPEN
         && ratelimit_take (ratelimit, SERVER, end);
}

static bool
try_at (struct ratelimit *ratelimit, int64_t ms)
{
  return try_within (ratelimit, ms, 0);
}

/* Tries all the time.  */
static unsigned
sent_between (struct ratelimit *ratelimit, int64_t from_ms, int64_t to_ms)
{
  unsigned sent = 0;

  for (int64_t ms = from_ms; ms < to_ms; ms += TRY_MS)
    sent += try_within (ratelimit, ms, TRY_MS - 1);
  return sent;
}

/* A server that had been idle got as many requests at once as it had missed.
 */
static void
test_idle (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  unsigned sent = 0;

  hear (ratelimit, 1, 0);
  g_assert_true (try_at (ratelimit, 0));
  for (int i = 0; i < 50; i++)
    sent += try_at (ratelimit, 60000);
  g_assert_cmpuint (sent, ==, BUCKET_BURST);
  g_assert_cmpuint (sent_between (ratelimit, 60050, 70050), ==, 10);
  ratelimit_free (ratelimit);
}

/* A response that had been sent before the limit was named lifted it.  */
static void
test_late_response (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  struct action_list actions;

  action_list_init (&actions);
  hear (ratelimit, 1, 100);
  g_assert_false (ratelimit_heard (ratelimit, SERVER, 0, at_ms (50),
                                   at_ms (150), &actions));
  g_assert_cmpint (ratelimit_check (ratelimit, SERVER, 0, at_ms (150)).state,
                   ==, RATELIMIT_WAITING);
  g_assert_true (ratelimit_heard (ratelimit, SERVER, 0, at_ms (160),
                                  at_ms (200), &actions));
  g_assert_cmpint (ratelimit_check (ratelimit, SERVER, 0, at_ms (200)).state,
                   ==, RATELIMIT_NONE);
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A home issued the parts of nodes that it could not reach, which use them
   themselves.  */
static void
test_home_part (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 10, 4, false);

  hear (ratelimit, 10, 0);
  try_at (ratelimit, 0);
  g_assert_cmpuint (sent_between (ratelimit, 50, 10050), <=, 41);
  g_assert_cmpuint (sent_between (ratelimit, 10050, 20050), >=, 39);
  ratelimit_free (ratelimit);
}

/* Nodes that lost the home at once each sent as if they had a limit of their
   own, or all at the same time.  */
static void
test_own_parts (void)
{
  static struct ratelimit *nodes[NODES_MAX];
  unsigned most = 0;
  unsigned all = 0;

  for (size_t i = 0; i < NODES_MAX; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "n%zu", i);
      nodes[i] = new_node (name, NODES_MAX, 0, true);
      hear (nodes[i], 3, 0);
    }
  for (int64_t ms = 0; ms < 120000; ms += 4000)
    {
      unsigned sent = 0;

      for (size_t i = 0; i < NODES_MAX; i++)
        sent += sent_between (nodes[i], ms, ms + 4000);
      most = MAX (most, sent);
      all += sent;
    }
  g_assert_cmpuint (most, <=, 6 * 3 + 5);
  g_assert_cmpuint (all, >=, 120 * 3 / 2);
  for (size_t i = 0; i < NODES_MAX; i++)
    ratelimit_free (nodes[i]);
}

/* Requests waited for a home that did not reply.  */
static void
test_silent_home (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 2, 2, true);
  struct action_list actions;
  uint64_t ask;

  /* A server whose home is the other node.  */
  action_list_init (&actions);
  hear (ratelimit, 2, 0);
  ask = ratelimit_want (ratelimit, SERVER, 3000, at_ms (0), &actions);
  if (count (&actions, RATELIMIT_SEND_ASK) == 0)
    {
      ratelimit_free (ratelimit);
      ratelimit = new_node ("n1", 2, 2, true);
      hear (ratelimit, 2, 0);
      ask = ratelimit_want (ratelimit, SERVER, 3000, at_ms (0), &actions);
      g_assert_cmpuint (count (&actions, RATELIMIT_SEND_ASK), ==, 1);
    }
  g_assert_cmpint (
      ts_cmp (ratelimit_next (ratelimit), at_ms (RATELIMIT_REPLY_MS)), ==, 0);
  ratelimit_tick (ratelimit, at_ms (RATELIMIT_REPLY_MS), &actions);
  action_list_clear (&actions);
  g_assert_cmpint (
      ratelimit_check (ratelimit, SERVER, ask, at_ms (1300)).state, ==,
      RATELIMIT_OPEN);
  /* The next request does not ask it.  */
  ratelimit_want (ratelimit, SERVER, 3000, at_ms (300), &actions);
  g_assert_cmpuint (count (&actions, RATELIMIT_SEND_ASK), ==, 0);
  ratelimit_free (ratelimit);
}

/* Tickets that no request used were used much later, all at once.  */
static void
test_lapse (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  struct action_list actions;
  unsigned sent = 0;

  action_list_init (&actions);
  hear (ratelimit, 5, 0);
  for (int i = 0; i < 10; i++)
    ratelimit_unwant (
        ratelimit, SERVER,
        ratelimit_want (ratelimit, SERVER, 2000, at_ms (0), &actions));
  while (ratelimit_check (ratelimit, SERVER, 0, at_ms (3500)).state
             == RATELIMIT_OPEN
         && ratelimit_take (ratelimit, SERVER, at_ms (3500)))
    sent++;
  g_assert_cmpuint (sent, ==, 0);
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* All rejected requests were told the same time, and came back together.  */
static void
test_promises (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  struct action_list actions;
  int64_t last_ms = 0;

  action_list_init (&actions);
  hear (ratelimit, 2, 0);
  while (try_at (ratelimit, 0))
    ;
  for (int i = 0; i < 10; i++)
    {
      uint64_t ask
          = ratelimit_want (ratelimit, SERVER, 0, at_ms (0), &actions);
      struct ratelimit_verdict verdict
          = ratelimit_check (ratelimit, SERVER, ask, at_ms (0));

      g_assert_cmpint (verdict.state, ==, RATELIMIT_REJECTED);
      g_assert_cmpint (verdict.wait_ms, >=, last_ms + 499);
      g_assert_cmpint (verdict.wait_ms, <=, BUCKET_PROMISE_MAX_MS + 1);
      last_ms = verdict.wait_ms;
      ratelimit_unwant (ratelimit, SERVER, ask);
    }
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A ticket for later was issued at the rate before.  */
static void
test_lowered (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  struct action_list actions;
  struct ratelimit_verdict verdict;
  uint64_t ask;

  action_list_init (&actions);
  hear (ratelimit, 10, 0);
  for (int i = 0; i < 11; i++)
    ratelimit_want (ratelimit, SERVER, 2000, at_ms (0), &actions);
  hear (ratelimit, 1, 0);
  ask = ratelimit_want (ratelimit, SERVER, 2000, at_ms (0), &actions);
  verdict = ratelimit_check (ratelimit, SERVER, ask, at_ms (0));
  g_assert_cmpint (verdict.state, !=, RATELIMIT_NONE);
  while (ratelimit_take (ratelimit, SERVER, at_ms (0)))
    ;
  verdict = ratelimit_check (ratelimit, SERVER, ask, at_ms (0));
  g_assert_cmpint (verdict.state, ==, RATELIMIT_REJECTED);
  g_assert_cmpint (verdict.wait_ms, >=, 9000);
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A message from a node that had heard the server earlier changed the limit.
 */
static void
test_old_message (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 2, 2, false);
  struct action_list actions;

  action_list_init (&actions);
  hear (ratelimit, 1, 1000);
  g_assert_false (ratelimit_told (ratelimit, "n1", SERVER, 0, 500,
                                  at_ms (1100), &actions));
  g_assert_cmpuint (count (&actions, RATELIMIT_SEND_NAMED), ==, 1);
  g_assert_true (
      ratelimit_told (ratelimit, "n1", SERVER, 0, 10, at_ms (1100), &actions));
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A node that had just started, and knew no other yet, issued tickets as if it
   were alone, beside those of the home before.  */
static void
test_just_started (void)
{
  struct ratelimit *ratelimit = ratelimit_new ("n0");
  struct homes_node nodes[] = { { "n0", true, true }, { "n1", true, true } };
  struct action_list actions;

  action_list_init (&actions);
  ratelimit_set_nodes (ratelimit, nodes, 1, at_ms (0));
  hear (ratelimit, 10, 0);
  g_assert_cmpuint (
      sent_between (ratelimit, 0, RATELIMIT_WAIT_MAX_MS - TRY_MS), ==, 0);
  for (int i = 0; i < 5; i++)
    ratelimit_want (ratelimit, SERVER, 1000, at_ms (100), &actions);
  /* The home is found.  */
  nodes[0].serves = false;
  ratelimit_set_nodes (ratelimit, nodes, 2, at_ms (200));
  g_assert_cmpint (ratelimit_check (ratelimit, SERVER, 0, at_ms (1900)).state,
                   ==, RATELIMIT_WAITING);
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A node that had been taken for the home issued tickets beside it.  */
static void
test_not_home (void)
{
  struct ratelimit *ratelimit = ratelimit_new ("n0");
  struct homes_node nodes[] = { { "n0", true, false }, { "n1", true, true } };
  struct action_list actions;

  action_list_init (&actions);
  ratelimit_set_nodes (ratelimit, nodes, 2, at_ms (STARTED_MS));
  hear (ratelimit, 10, 0);
  ratelimit_asked (ratelimit, "n2", SERVER, 1, 1000, at_ms (10), &actions);
  g_assert_cmpuint (count (&actions, RATELIMIT_SEND_REPLY), ==, 0);
  ratelimit_free (ratelimit);
}

/* A rate that messages round was taken for another one, so that nodes told
   each other again and again.  */
static void
test_rounded (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 2, 2, false);
  struct action_list actions;
  const struct ratelimit_action *told;

  action_list_init (&actions);
  g_assert_true (ratelimit_heard (ratelimit, SERVER, 2.71828, at_ms (0),
                                  at_ms (0), &actions));
  told = (const struct ratelimit_action *)CK_STAILQ_FIRST (&actions);
  g_assert_cmpfloat (told->per_s * RATELIMIT_UNITS, ==, 2718);
  g_assert_false (ratelimit_told (ratelimit, "n1", SERVER, 2.718, 0,
                                  at_ms (10), &actions));
  g_assert_false (ratelimit_heard (ratelimit, SERVER, 2.71828, at_ms (20),
                                   at_ms (20), &actions));
  g_assert_true (ratelimit_heard (ratelimit, SERVER, 0.0001, at_ms (30),
                                  at_ms (30), &actions));
  g_assert_false (ratelimit_told (ratelimit, "n1", SERVER,
                                  round (RATELIMIT_MIN_PER_S * RATELIMIT_UNITS)
                                      / RATELIMIT_UNITS,
                                  0, at_ms (40), &actions));
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

/* A limit that nobody heard any more was kept for good.  */
static void
test_forgotten (void)
{
  struct ratelimit *ratelimit = new_node ("n0", 1, 1, false);
  struct action_list actions;

  action_list_init (&actions);
  hear (ratelimit, 1, 0);
  g_assert_cmpint (
      ts_cmp (ratelimit_next (ratelimit), at_ms (RATELIMIT_MEMORY_MS)), ==, 0);
  ratelimit_tick (ratelimit, at_ms (RATELIMIT_MEMORY_MS), &actions);
  g_assert_true (ts_is_zero (ratelimit_next (ratelimit)));
  g_assert_cmpfloat (ratelimit_per_s (ratelimit, SERVER), ==, 0);
  action_list_clear (&actions);
  ratelimit_free (ratelimit);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ratelimit/idle", test_idle);
  g_test_add_func ("/ratelimit/late-response", test_late_response);
  g_test_add_func ("/ratelimit/home-part", test_home_part);
  g_test_add_func ("/ratelimit/own-parts", test_own_parts);
  g_test_add_func ("/ratelimit/silent-home", test_silent_home);
  g_test_add_func ("/ratelimit/lapse", test_lapse);
  g_test_add_func ("/ratelimit/promises", test_promises);
  g_test_add_func ("/ratelimit/lowered", test_lowered);
  g_test_add_func ("/ratelimit/old-message", test_old_message);
  g_test_add_func ("/ratelimit/just-started", test_just_started);
  g_test_add_func ("/ratelimit/not-home", test_not_home);
  g_test_add_func ("/ratelimit/rounded", test_rounded);
  g_test_add_func ("/ratelimit/forgotten", test_forgotten);
  return g_test_run ();
}
