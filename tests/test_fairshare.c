/* A customer that sends many times its usual load, when there is less capacity
   than all want, does not make the others wait.  */

#include <glib.h>
#include "fairshare.h"
#include "ts.h"

#define CUSTOMERS 16
#define STEP_MS 10

static struct timespec
at_ms (int64_t ms)
{
  return ts_add_ms ((struct timespec){ .tv_sec = 1000 }, ms);
}

static struct fairshare_request
request_of (const char *customer, double cost_s)
{
  return (struct fairshare_request){ .customer = customer, .cost_s = cost_s };
}

static void
send_some (struct fairshare *share, const char *customer, double cost_s,
           unsigned count, int64_t now_ms)
{
  struct fairshare_request request = request_of (customer, cost_s);

  for (unsigned i = 0; i < count; i++)
    fairshare_sent (share, &request, at_ms (now_ms));
}

static struct fairshare_item
item_of (const char *customer, unsigned priority, int64_t deadline_ms)
{
  return (struct fairshare_item){ .request = request_of (customer, 0.1),
                                  .priority = priority,
                                  .deadline = at_ms (deadline_ms) };
}

/* Guards against any effect where there is nobody to be fair to.  */
static void
test_one_customer (void)
{
  struct fairshare_item items[]
      = { item_of ("a", 0, 300), item_of ("a", 0, 100), item_of ("a", 1, 50) };
  struct fairshare_request request = request_of ("a", 0.1);
  struct fairshare *share = fairshare_new ();

  send_some (share, "a", 0.1, 100, 0);
  fairshare_refused (share, &request, at_ms (0));
  fairshare_waits (share, &request, 1, at_ms (0));
  g_assert_false (fairshare_is_over (share, "a", at_ms (100)));
  g_assert_false (fairshare_is_over (share, NULL, at_ms (200)));
  g_assert_false (fairshare_order (share, items, 3, at_ms (0)));
  g_assert_cmpint (ts_cmp (items[0].deadline, at_ms (300)), ==, 0);
  fairshare_free (share);
}

/* Guards against a burst of one customer that stands before the requests of
   the others, and against an order that ignores priority and deadline.  */
static void
test_order (void)
{
  struct fairshare_item items[]
      = { item_of ("big", 1, 100),   item_of ("big", 1, 101),
          item_of ("big", 1, 103),   item_of ("big", 1, 102),
          item_of ("small", 1, 900), item_of ("small", 1, 800),
          item_of ("big", 0, 999) };
  static const int64_t expected[] = { 999, 800, 900, 100, 101, 102, 103 };
  struct fairshare *share = fairshare_new ();

  send_some (share, "big", 0.1, 20, 0);
  send_some (share, "small", 0.1, 1, 0);
  g_assert_true (fairshare_order (share, items, 7, at_ms (0)));
  for (unsigned i = 0; i < 7; i++)
    g_assert_cmpint (ts_cmp (items[i].deadline, at_ms (expected[i])), ==, 0);
  fairshare_free (share);
}

/* Guards against a customer with nothing sent so far that takes all: both have
   their turns from the start.  */
static void
test_turns (void)
{
  struct fairshare_item items[20];
  struct fairshare *share = fairshare_new ();
  unsigned first = 0;

  for (unsigned i = 0; i < 20; i++)
    items[i] = item_of (i < 10 ? "a" : "b", 0, i);
  g_assert_true (fairshare_order (share, items, 20, at_ms (0)));
  for (unsigned i = 0; i < 10; i++)
    first += g_str_equal (items[i].request.customer, "a");
  g_assert_cmpuint (first, ==, 5);
  fairshare_free (share);
}

/* Guards against a customer that gives way although nobody lacks anything, or
   for ever.  */
static void
test_over (void)
{
  struct fairshare_request lacking = request_of ("b", 0.1);
  struct fairshare *share = fairshare_new ();

  send_some (share, "a", 0.1, 60, 0);
  send_some (share, "b", 0.1, 5, 0);
  g_assert_false (fairshare_is_over (share, "a", at_ms (0)));
  fairshare_refused (share, &lacking, at_ms (100));
  g_assert_true (fairshare_is_over (share, "a", at_ms (200)));
  g_assert_false (fairshare_is_over (share, "b", at_ms (200)));
  g_assert_false (
      fairshare_is_over (share, "a", at_ms (200 + FAIRSHARE_SHORT_MS)));
  fairshare_waits (share, &lacking, 1, at_ms (3000));
  g_assert_true (fairshare_is_over (share, "a", at_ms (3100)));
  fairshare_waits (share, &lacking, -1, at_ms (3200));
  g_assert_false (fairshare_is_over (share, "a", at_ms (3300)));
  fairshare_free (share);
}

/* Guards against a large customer that gives way because it is large, and
   against units that do not compare.  */
static void
test_weights (void)
{
  struct fairshare_request lacking = request_of ("small", 0.5);
  struct fairshare *share = fairshare_new ();

  /* Both have had 3 s of their rate: 1000 requests and 6.  */
  send_some (share, "large", 0.003, 1000, 0);
  send_some (share, "small", 0.5, 6, 0);
  fairshare_refused (share, &lacking, at_ms (0));
  g_assert_false (fairshare_is_over (share, "large", at_ms (0)));
  g_assert_false (fairshare_is_over (share, "small", at_ms (0)));
  fairshare_free (share);
}

/* Guards against a customer that is over for a few requests.  */
static void
test_rare (void)
{
  struct fairshare_request lacking = request_of ("a", 0.01);
  struct fairshare *share = fairshare_new ();

  send_some (share, "a", 0.01, 10, 0);
  send_some (share, "b", 0.01, 10, 0);
  send_some (share, "rare", 1, 2, 0);
  fairshare_refused (share, &lacking, at_ms (0));
  g_assert_false (fairshare_is_over (share, "rare", at_ms (0)));
  fairshare_free (share);
}

/* Guards against a customer without a rate that counts as one with a tiny
   one, so that it is always over.  */
static void
test_no_rate (void)
{
  struct fairshare_request lacking = request_of ("a", 0.01);
  struct fairshare *share = fairshare_new ();

  for (unsigned i = 0; i < 20; i++)
    {
      send_some (share, "a", 0.01, 1, 0);
      send_some (share, "none", 0, 1, 0);
      send_some (share, NULL, 0, 1, 0);
    }
  fairshare_refused (share, &lacking, at_ms (0));
  g_assert_false (fairshare_is_over (share, "none", at_ms (0)));
  g_assert_false (fairshare_is_over (share, NULL, at_ms (0)));
  send_some (share, "none", 0, 100, 0);
  g_assert_true (
      fairshare_is_over (share, "none", at_ms (FAIRSHARE_REFRESH_MS)));
  fairshare_free (share);
}

/* Guards against a customer that gets nothing any more because it is over.  */
static void
test_served_min (void)
{
  struct fairshare_request lacking = request_of ("b", 0.1);
  struct fairshare_request refused = request_of ("a", 0.1);
  struct fairshare *share = fairshare_new ();

  send_some (share, "a", 0.1, 50, 0);
  send_some (share, "b", 0.1, 10, 0);
  fairshare_refused (share, &lacking, at_ms (0));
  g_assert_true (fairshare_is_over (share, "a", at_ms (0)));
  for (unsigned i = 0; i < 500; i++)
    fairshare_refused (share, &refused, at_ms (0));
  g_assert_false (
      fairshare_is_over (share, "a", at_ms (FAIRSHARE_REFRESH_MS)));
  fairshare_free (share);
}

/* Requests of customers over 20 s of which the first 4 do not count, each
   served or refused at once.  */
struct load
{
  double per_s[CUSTOMERS];
  double cost_s[CUSTOMERS];
  double capacity; /* of what all want */
  bool fair;
  /* Results.  */
  unsigned offered[CUSTOMERS];
  unsigned sent[CUSTOMERS];
};

static void
offer (struct load *load, struct fairshare *share, unsigned i,
       double *capacity, int64_t now_ms)
{
  char name[8];
  struct fairshare_request request = { name, load->cost_s[i] };
  bool over;
  bool sent;

  g_snprintf (name, sizeof name, "c%u", i);
  over = load->fair && fairshare_is_over (share, name, at_ms (now_ms));
  sent = *capacity >= (over ? 5 : 1);
  if (now_ms >= 4000)
    {
      load->offered[i]++;
      load->sent[i] += sent;
    }
  if (!sent)
    {
      fairshare_refused (share, &request, at_ms (now_ms));
      return;
    }
  *capacity -= 1;
  fairshare_sent (share, &request, at_ms (now_ms));
}

static void
play (struct load *load)
{
  struct fairshare *share = fairshare_new ();
  GRand *rand = g_rand_new_with_seed (7);
  double all_per_s = 0;
  double capacity = 0;

  for (unsigned i = 0; i < CUSTOMERS; i++)
    all_per_s += load->per_s[i];
  for (int64_t now_ms = 0; now_ms < 20000; now_ms += STEP_MS)
    {
      capacity += load->capacity * all_per_s * STEP_MS / 1000;
      capacity = MIN (capacity, 10);
      for (unsigned i = 0; i < CUSTOMERS; i++)
        if (g_rand_double (rand) < load->per_s[i] * STEP_MS / 1000)
          offer (load, share, i, &capacity, now_ms);
    }
  g_rand_free (rand);
  fairshare_free (share);
}

static double
part_served (const struct load *load, unsigned from, unsigned to)
{
  unsigned offered = 0;
  unsigned sent = 0;

  for (unsigned i = from; i < to; i++)
    {
      offered += load->offered[i];
      sent += load->sent[i];
    }
  return (double)sent / offered;
}

/* One customer of 16 sends all of its quota, the others 0.55 of theirs; there
   is capacity for 0.9.  */
static struct load
burst_load (bool fair)
{
  struct load load = { .capacity = 0.9, .fair = fair };

  for (unsigned i = 0; i < CUSTOMERS; i++)
    {
      load.per_s[i] = i < 4 ? 20 : 5;
      load.cost_s[i] = 0.55 / load.per_s[i];
    }
  load.per_s[0] *= 1 / 0.55;
  play (&load);
  return load;
}

/* Guards against a burst that takes from the others: they are served better
   than without, the large one still at least a quarter as often as all, and so
   is each of the others.  */
static void
test_burst (void)
{
  struct load plain = burst_load (false);
  struct load load = burst_load (true);
  double all = part_served (&load, 0, CUSTOMERS);
  double others = part_served (&load, 1, CUSTOMERS);

  g_test_message ("others %.3f (%.3f before), burst %.3f, all %.3f", others,
                  part_served (&plain, 1, CUSTOMERS),
                  part_served (&load, 0, 1), all);
  g_assert_cmpfloat (others, >, part_served (&plain, 1, CUSTOMERS));
  g_assert_cmpfloat (others, >, part_served (&load, 0, 1));
  for (unsigned i = 0; i < CUSTOMERS; i++)
    g_assert_cmpfloat (part_served (&load, i, i + 1), >=, all / 4);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fairshare/one-customer", test_one_customer);
  g_test_add_func ("/fairshare/order", test_order);
  g_test_add_func ("/fairshare/turns", test_turns);
  g_test_add_func ("/fairshare/over", test_over);
  g_test_add_func ("/fairshare/weights", test_weights);
  g_test_add_func ("/fairshare/rare", test_rare);
  g_test_add_func ("/fairshare/no-rate", test_no_rate);
  g_test_add_func ("/fairshare/served-min", test_served_min);
  g_test_add_func ("/fairshare/burst", test_burst);
  return g_test_run ();
}
