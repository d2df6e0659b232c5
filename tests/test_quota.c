/* Tests the bucket of a home, and what homes and nodes say to each other.  */

#include <glib.h>
#include "quota.h"
#include "quota_home.h"
#include "ts.h"

#define CUSTOMER "c"
#define NODES 4

static struct timespec
at_ms (int64_t ms)
{
  return ts_from_ms (1000000 + ms);
}

static const struct quota_part part
    = { .per_s = 1000, .burst = 1000, .unit = 100, .owes = true };

/* What a home may issue beyond what has come in: five eighths of the burst. */
static const double debt_max = 625;

/* A bucket that was ready at 0.  */
static struct quota_bucket
new_bucket (const struct quota_part *terms)
{
  struct quota_bucket bucket = { 0 };

  quota_bucket_start (&bucket, at_ms (0), at_ms (0));
  quota_bucket_set (&bucket, terms, at_ms (0));
  return bucket;
}

/* Issues AMOUNT in pieces until it is refused.  Returns the sum.  */
static double
drain (struct quota_bucket *bucket, double amount, int64_t ms)
{
  double sum = 0;
  int64_t ready_ms;

  while (quota_bucket_issue (bucket, amount, at_ms (ms), &ready_ms))
    sum += amount;
  return sum;
}

/* A home issued a full burst as soon as it had become one, beside the home
   before it.  */
static void
test_starts_empty (void)
{
  struct quota_bucket bucket = { 0 };

  quota_bucket_start (&bucket, at_ms (3000), at_ms (0));
  quota_bucket_set (&bucket, &part, at_ms (0));
  for (int64_t ms = 0; ms < 3000; ms += 500)
    g_assert_cmpfloat (drain (&bucket, 100, ms), ==, 0);
  g_assert_cmpfloat (drain (&bucket, 100, 3000), <=, debt_max);
}

/* A home that did not run issued what it would have had meanwhile.  */
static void
test_paused (void)
{
  struct quota_bucket bucket = new_bucket (&part);

  g_assert_cmpfloat (drain (&bucket, 100, 1000), >=, 1000);
  g_assert_cmpfloat (drain (&bucket, 100, 20000), ==, 0);
  g_assert_cmpfloat (drain (&bucket, 100, 20000 + QUOTA_HOLD_MS - 100), ==, 0);
  g_assert_cmpfloat (drain (&bucket, 100, 20000 + QUOTA_HOLD_MS), <=,
                     debt_max);
}

/* A return was lost, or counted although the bucket would have overflowed.  */
static void
test_given_back (void)
{
  struct quota_bucket bucket = new_bucket (&part);

  drain (&bucket, 100, 1000);
  quota_bucket_give_back (&bucket, 400, at_ms (1000), at_ms (1000));
  g_assert_cmpfloat (drain (&bucket, 100, 1000), >=, 300);
  drain (&bucket, 100, 1500);
  /* Full from 2.6 s on: what was issued before makes no difference.  */
  quota_bucket_set (&bucket, &part, at_ms (2600));
  quota_bucket_set (&bucket, &part, at_ms (3600));
  drain (&bucket, 100, 3600);
  quota_bucket_give_back (&bucket, 1000, at_ms (1500), at_ms (3610));
  g_assert_cmpfloat (drain (&bucket, 100, 3610), <=, 100);
}

/* Nodes that were cut off saved up their parts.  */
static void
test_slots (void)
{
  struct quota_part slots = part;
  struct quota_bucket bucket;

  slots.slots = true;
  slots.per_s = 50;
  bucket = new_bucket (&slots);
  for (int64_t ms = 0; ms <= 60000; ms += 1000)
    quota_bucket_set (&bucket, &slots, at_ms (ms));
  g_assert_cmpfloat (drain (&bucket, 100, 60000), <=, 100);
}

/* Refused requests were all told the same time.  */
static void
test_promises (void)
{
  struct quota_bucket bucket = new_bucket (&part);
  int64_t last = -1000;

  drain (&bucket, 500, 1000);
  for (unsigned i = 0; i < 5; i++)
    {
      int64_t told = quota_bucket_promise (&bucket, 500, 300, at_ms (1000));

      g_assert_cmpint (told, >=, last + 400);
      last = told;
    }
}

/* Node NAME of NODES nodes "n0", "n1" and so on, all linked since -10 s.  */
static struct quota *
new_node (const char *name)
{
  struct quota_options options
      = { .node = name, .bounds = { 8000, 0.1, 110000 } };
  struct quota_limit limit = { CUSTOMER, 30000, 30000, true };
  struct quota *quota = quota_new (&options);
  struct homes_node nodes[NODES];
  struct action_list actions;
  char names[NODES][4];

  for (int i = 0; i < NODES; i++)
    {
      g_snprintf (names[i], sizeof names[i], "n%d", i);
      nodes[i] = (struct homes_node){ names[i], true, true };
    }
  quota_set_nodes (quota, nodes, NODES, true, at_ms (-10000));
  action_list_init (&actions);
  quota_set_limits (quota, &limit, 1, at_ms (-10000), &actions);
  for (int64_t ms = -10000; ms <= 0; ms += 250)
    quota_tick (quota, at_ms (ms), &actions);
  action_list_clear (&actions);
  return quota;
}

/* A node that is a home, or is none.  */
static struct quota *
new_node_that (bool is_home)
{
  for (int i = 0; i < NODES; i++)
    {
      char *name = g_strdup_printf ("n%d", i);
      struct quota *quota = new_node (name);
      struct quota_status status;

      g_free (name);
      g_assert_true (quota_status (quota, CUSTOMER, at_ms (0), &status));
      if (status.is_home == is_home)
        return quota;
      quota_free (quota);
    }
  g_assert_not_reached ();
}

static double
level_of (struct quota *home, int64_t ms)
{
  struct quota_status status;

  quota_status (home, CUSTOMER, at_ms (ms), &status);
  return status.level;
}

/* A return that came twice was counted twice.  */
static void
test_returned_twice (void)
{
  struct quota *home = new_node_that (true);
  struct action_list actions;
  double level;

  action_list_init (&actions);
  for (unsigned i = 1; i <= 3; i++)
    quota_asked (home, "x", CUSTOMER, i, 3000, 0, at_ms (0), &actions);
  quota_returned (home, "x", CUSTOMER, 7, 3000, 0, at_ms (1));
  level = level_of (home, 1);
  quota_returned (home, "x", CUSTOMER, 7, 3000, 0, at_ms (1));
  g_assert_cmpfloat (level_of (home, 1), ==, level);
  quota_returned (home, "x", CUSTOMER, 8, 3000, 0, at_ms (1));
  g_assert_cmpfloat (level_of (home, 1), >, level + 2000);
  action_list_clear (&actions);
  quota_free (home);
}

/* The number of the ask in ACTIONS, whose home is copied to *HOME; 0: none.
   Removes all.  */
static uint64_t
find_ask (struct action_list *actions, char **home)
{
  uint64_t number = 0;
  struct action *action;

  while ((action = action_pop (actions)) != NULL)
    {
      const struct quota_action *ask = (const struct quota_action *)action;

      if (action->type == QUOTA_SEND_ASK)
        {
          number = ask->number;
          g_free (*home);
          *home = g_strdup (ask->node);
        }
      action_free (action);
    }
  return number;
}

/* A request was not asked for again when a home was silent, or a grant that
   came late was used twice.  */
static void
test_silent_home (void)
{
  struct quota *node = new_node_that (false);
  struct action_list actions;
  struct quota_verdict verdict;
  char *first = NULL;
  char *second = NULL;
  uint64_t late;
  uint64_t next;

  action_list_init (&actions);
  verdict = quota_take (node, CUSTOMER, 5000, at_ms (0), &actions);
  g_assert_cmpint (verdict.state, ==, QUOTA_ASKED);
  late = find_ask (&actions, &first);
  quota_tick (node, at_ms (QUOTA_REPLY_MS), &actions);
  next = find_ask (&actions, &second);
  g_assert_cmpstr (first, !=, second);
  quota_granted (node, second, CUSTOMER, next, 5000, 0, 0, at_ms (110),
                 &actions);
  verdict = quota_check (node, CUSTOMER, verdict.wait);
  g_assert_cmpint (verdict.state, ==, QUOTA_TAKEN);
  g_assert_cmpfloat (verdict.taken.amount, ==, 5000);
  for (int i = 0; i < 2; i++)
    quota_granted (node, first, CUSTOMER, late, 5000, 0, 0, at_ms (120),
                   &actions);
  g_assert_cmpint (
      quota_take (node, CUSTOMER, 5000, at_ms (130), &actions).state, ==,
      QUOTA_TAKEN);
  g_assert_cmpint (
      quota_take (node, CUSTOMER, 5000, at_ms (130), &actions).state, ==,
      QUOTA_ASKED);
  action_list_clear (&actions);
  g_free (first);
  g_free (second);
  quota_free (node);
}

/* Credit was used long after it was issued.  */
static void
test_credit_lapses (void)
{
  struct quota *node = new_node_that (false);
  struct action_list actions;
  char *home = NULL;
  uint64_t ask;
  struct quota_verdict verdict;

  action_list_init (&actions);
  verdict = quota_take (node, CUSTOMER, 5000, at_ms (0), &actions);
  ask = find_ask (&actions, &home);
  quota_leave (node, CUSTOMER, verdict.wait, at_ms (1), &actions);
  quota_granted (node, home, CUSTOMER, ask, 5000, 0, 0, at_ms (2), &actions);
  verdict = quota_take (node, CUSTOMER, 5000, at_ms (QUOTA_CREDIT_MS + 10),
                        &actions);
  g_assert_cmpint (verdict.state, ==, QUOTA_ASKED);
  action_list_clear (&actions);
  g_free (home);
  quota_free (node);
}

/* One request that claims a huge amount left a home a debt that kept its
   customer from the quota for hours.  */
static void
test_huge_request (void)
{
  struct quota *node = new_node_that (false);
  struct action_list actions;
  char *home = NULL;

  action_list_init (&actions);
  g_assert_cmpint (
      quota_take (node, CUSTOMER, 1e12, at_ms (0), &actions).state, ==,
      QUOTA_EXCEEDED);
  g_assert_null (action_pop (&actions));
  g_assert_cmpint (
      quota_take (node, CUSTOMER, 5000, at_ms (0), &actions).state, ==,
      QUOTA_ASKED);
  g_assert_cmpuint (find_ask (&actions, &home), !=, 0);
  g_free (home);
  quota_free (node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota/starts-empty", test_starts_empty);
  g_test_add_func ("/quota/paused", test_paused);
  g_test_add_func ("/quota/given-back", test_given_back);
  g_test_add_func ("/quota/slots", test_slots);
  g_test_add_func ("/quota/promises", test_promises);
  g_test_add_func ("/quota/returned-twice", test_returned_twice);
  g_test_add_func ("/quota/silent-home", test_silent_home);
  g_test_add_func ("/quota/huge-request", test_huge_request);
  g_test_add_func ("/quota/credit-lapses", test_credit_lapses);
  return g_test_run ();
}
