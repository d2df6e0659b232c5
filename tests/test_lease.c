#include <glib.h>
#include "fake_cell_steps.h"
#include "leaserow.h"

#define STEP_MS 10
#define PHASES 40
#define ANSWER_MS 300 /* of an order */

static const double rates[CELL_NODES] = { 1.0, 1.009, 0.991 };

static void
run (struct cell *cell, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    {
      cell_step (cell, CELL_ADVANCE, STEP_MS);
      for (unsigned n = 0; n < cell->node_count; n++)
        if (cell->nodes[n].alive)
          cell_step (cell, CELL_RUN_NODE, n);
    }
}

static bool
is_active_holder (const struct cell *cell, unsigned n)
{
  const struct cell_node *node = &cell->nodes[n];

  return node->alive && intent_ready (node->intent)
         && lease_may_send (node->lease, cell_now (cell, node));
}

static int64_t
until_active (struct cell *cell, unsigned n, int64_t limit_ms)
{
  int64_t from = cell->ns;

  while (!is_active_holder (cell, n)
         && cell->ns < from + limit_ms * TS_NS_PER_MS)
    run (cell, STEP_MS);
  g_assert_true (is_active_holder (cell, n));
  return (cell->ns - from) / TS_NS_PER_MS;
}

/* Time from the death of node 0, which holds the lease, until node 1 has taken
   over.  DEAD_REPORTED: membership reports the death after 3 s, and node 1
   becomes the first candidate.  */
static int64_t
take_over_ms (bool checks_fence, bool dead_reported, int64_t phase_ms)
{
  struct cell cell;
  int64_t ms;

  cell_init (&cell, 3, checks_fence, rates);
  until_active (&cell, 0, 5000);
  run (&cell, 5000 + phase_ms);
  cell_step (&cell, CELL_KILL, 0);
  if (dead_reported)
    {
      run (&cell, 3000);
      for (unsigned n = 1; n < 3; n++)
        lease_set_rank (cell.nodes[n].lease, n - 1,
                        cell_now (&cell, &cell.nodes[n]));
      cell_step (&cell, CELL_REPORT_DEAD, 0);
    }
  ms = until_active (&cell, 1, 20000) + (dead_reported ? 3000 : 0);
  g_assert_cmpstr (cell.violation, ==, "");
  cell_clear (&cell);
  return ms;
}

static void
test_take_over (void)
{
  for (unsigned kind = 0; kind < 4; kind++)
    {
      bool checks_fence = kind % 2 == 1;
      bool dead_reported = kind / 2 == 1;
      int64_t max_ms = 0;
      int64_t min_ms = INT64_MAX;

      for (unsigned i = 0; i < PHASES; i++)
        {
          int64_t ms = take_over_ms (checks_fence, dead_reported, i * 50);

          max_ms = MAX (max_ms, ms);
          min_ms = MIN (min_ms, ms);
        }
      g_test_message ("takeover after the holder's death, engines %s the "
                      "token, death %s: %" PRId64 " to %" PRId64 " ms",
                      checks_fence ? "check" : "ignore",
                      dead_reported ? "reported after 3 s" : "not reported",
                      min_ms, max_ms);
      g_assert_cmpint (max_ms, <, 10000);
    }
}

static void
test_hand_over (void)
{
  struct cell cell;
  int64_t ms;

  cell_init (&cell, 3, false, rates);
  until_active (&cell, 0, 5000);
  run (&cell, 3000);
  cell_step (&cell, CELL_RELEASE, 0);
  lease_set_rank (cell.nodes[0].lease, G_MAXUINT,
                  cell_now (&cell, &cell.nodes[0]));
  lease_set_rank (cell.nodes[1].lease, 0, cell_now (&cell, &cell.nodes[1]));
  cell_step (&cell, CELL_RUN_NODE, 0);
  cell_step (&cell, CELL_HINT, 1);
  ms = until_active (&cell, 1, 5000);
  g_test_message ("handover on shutdown: %" PRId64 " ms", ms);
  g_assert_cmpint (ms, <, 1000);
  cell_clear (&cell);
}

/* A lease was released while an order was in flight, which arrived after the
   next holder's.  */
static void
check_order_in_flight (bool checks_fence, bool answered)
{
  struct cell cell;
  struct lease *lease;
  struct cell_node *first;
  int64_t sent_ns;

  cell_init (&cell, 3, checks_fence, rates);
  first = &cell.nodes[0];
  lease = first->lease;
  until_active (&cell, 0, 5000);
  run (&cell, 3000);
  sent_ns = cell.ns;
  lease_order_sent (lease, cell_now (&cell, first));
  cell_step (&cell, CELL_RELEASE, 0);
  g_assert_false (lease_may_send (lease, cell_now (&cell, first)));
  lease_set_rank (lease, G_MAXUINT, cell_now (&cell, first));
  lease_set_rank (cell.nodes[1].lease, 0, cell_now (&cell, &cell.nodes[1]));
  run (&cell, ANSWER_MS);
  g_assert_cmpint (lease_state (lease), ==,
                   checks_fence ? LEASE_WATCHING : LEASE_RELEASING);
  if (answered)
    lease_order_answered (lease, lease_fence (lease), cell_now (&cell, first));
  until_active (&cell, 1, 5000);
  if (!checks_fence && !answered)
    g_assert_cmpint (cell.ns - sent_ns, >=, LEASE_MARGIN_MS * TS_NS_PER_MS);
  if (answered)
    g_assert_cmpint (cell.ns - sent_ns, <, 1500 * TS_NS_PER_MS);
  cell_clear (&cell);
}

static void
test_order_in_flight (void)
{
  check_order_in_flight (false, false);
  check_order_in_flight (false, true);
  check_order_in_flight (true, false);
}

/* The first candidate cannot acquire the lease: the second, which holds it,
   must offer it from time to time, but not at every renewal.  */
static void
test_offer (void)
{
  struct cell cell;

  cell_init (&cell, 3, false, rates);
  cell_step (&cell, CELL_KILL, 0);
  until_active (&cell, 1, 20000);
  run (&cell, 200000);
  g_test_message ("lease won %u times in 200 s", cell.wins);
  g_assert_cmpuint (cell.wins, >=, 3);
  g_assert_cmpuint (cell.wins, <=, 8);
  cell_clear (&cell);
}

/* A holder that was paused until its lease expired must not send orders before
   it has reached the table, whether engines check the token or not.  */
static void
test_paused (gconstpointer data)
{
  struct cell cell;

  cell_init (&cell, 2, GPOINTER_TO_INT (data) != 0, rates);
  until_active (&cell, 0, 5000);
  cell_step (&cell, CELL_ADVANCE, 60000);
  g_assert_false (is_active_holder (&cell, 0));
  cell_step (&cell, CELL_RUN_NODE, 0);
  g_assert_true (is_active_holder (&cell, 0));
  cell_clear (&cell);
}

/* During an outage of the table, the holder keeps sending if engines check the
   token and stops when its lease expires if they do not.  Both resume after
   the outage.  */
static void
test_outage (gconstpointer data)
{
  bool checks_fence = GPOINTER_TO_INT (data) != 0;
  struct cell cell;

  cell_init (&cell, 3, checks_fence, rates);
  until_active (&cell, 0, 5000);
  cell_step (&cell, CELL_OUTAGE, 0);
  run (&cell, 60000);
  g_assert_true (is_active_holder (&cell, 0) == checks_fence);
  cell.table.reads = 0;
  cell.table.writes = 0;
  cell_step (&cell, CELL_OUTAGE, 0);
  run (&cell, 12000);
  g_assert_true (is_active_holder (&cell, 0) || is_active_holder (&cell, 1)
                 || is_active_holder (&cell, 2));
  g_assert_cmpuint (cell.table.writes, <, 30);
  cell_clear (&cell);
}

/* Table reads and writes for one cell, idle and with ten orders per second. */
static void
test_traffic (void)
{
  struct cell cell;
  struct backend_order order
      = { .engine = "e", .address = "e", .type = BACKEND_PRELOAD };
  char id[32];

  cell_init (&cell, 3, false, rates);
  until_active (&cell, 0, 5000);
  run (&cell, 5000);
  cell.table.reads = cell.table.writes = 0;
  run (&cell, 100000);
  g_test_message ("one cell, idle: %.2f reads/s, %.2f writes/s",
                  cell.table.reads / 100.0, cell.table.writes / 100.0);
  cell.table.reads = cell.table.writes = 0;
  for (unsigned i = 0; i < 1000; i++)
    {
      struct timespec now = cell_now (&cell, &cell.nodes[0]);

      g_snprintf (id, sizeof id, "o%u", i);
      order.order_id = id;
      g_assert_cmpint (intent_order (cell.nodes[0].intent, &order, now), ==,
                       0);
      run (&cell, 100);
      intent_settled (cell.nodes[0].intent, id, now);
    }
  g_test_message ("one cell, 10 orders/s: %.2f reads/s, %.2f writes/s",
                  cell.table.reads / 100.0, cell.table.writes / 100.0);
  g_assert_cmpuint (cell.table.writes, <, 2000);
  cell_clear (&cell);
}

/* Whether node "a", in incarnation 2, acquires within MS the lease that HOLDER
   held in incarnation 1 and has not renewed since.  */
static bool
acquires_within (bool checks_fence, const char *holder, int64_t ms)
{
  struct lease_options options
      = { .cell = "c", .node = "a", .incarnation = 2 };
  char *value = leaserow_text (holder, 1, 7, 0, false);
  struct platform_row row
      = { .key = "cell/c", .version = 40, .value = value, .token = "" };
  struct action_list list;
  struct action *action;
  struct lease *lease;
  bool acquired = false;

  options.checks_fence = checks_fence;
  lease = lease_new (&options);
  action_list_init (&list);
  lease_set_rank (lease, 0, ts_from_ms (0));
  for (int64_t at = 0; at <= ms; at += STEP_MS)
    {
      lease_tick (lease, ts_from_ms (at), &list);
      while ((action = action_pop (&list)) != NULL)
        {
          acquired = acquired || action->type == LEASE_TXN;
          if (action->type == LEASE_READ)
            lease_row (lease, PLATFORM_OK, &row, ts_from_ms (at), &list);
          action_free (action);
        }
    }
  lease_free (lease);
  g_free (value);
  return acquired;
}

/* A restarted node may acquire the lease of its previous incarnation at once
   if engines refuse the old token, and must wait otherwise.  */
static void
test_own_previous_incarnation (void)
{
  g_assert_true (acquires_within (true, "a", 100));
  g_assert_false (acquires_within (true, "b", LEASE_DURATION_MS - 100));
  g_assert_false (acquires_within (false, "a", LEASE_DURATION_MS - 100));
  g_assert_true (acquires_within (false, "a", 3 * LEASE_DURATION_MS));
}

/* Whether a node acquires within MS a lease that has no row, in a table of
   ERA.  */
static bool
acquires_missing_within (uint64_t era, int64_t ms)
{
  struct lease_options options = { .cell = "c", .node = "a" };
  struct lease *lease = lease_new (&options);
  struct action_list list;
  struct action *action;
  bool acquired = false;

  action_list_init (&list);
  lease_set_rank (lease, 0, ts_from_ms (0));
  for (int64_t at = 0; at <= ms; at += STEP_MS)
    {
      lease_tick (lease, ts_from_ms (at), &list);
      while ((action = action_pop (&list)) != NULL)
        {
          acquired = acquired || action->type == LEASE_TXN;
          if (action->type == LEASE_READ)
            {
              lease_set_era (lease, era, ts_from_ms (at), &list);
              lease_row (lease, PLATFORM_OK, NULL, ts_from_ms (at), &list);
            }
          action_free (action);
        }
    }
  lease_free (lease);
  return acquired;
}

/* Guards against a needless wait for the first lease, and against one that is
   acquired beside a holder whose row was lost when the table was restored.  */
static void
test_missing_row (void)
{
  g_assert_true (acquires_missing_within (0, 100));
  g_assert_true (acquires_missing_within (1, 100));
  g_assert_false (acquires_missing_within (2, LEASE_DURATION_MS - 100));
  g_assert_true (acquires_missing_within (2, 3 * LEASE_DURATION_MS));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lease/take-over", test_take_over);
  g_test_add_func ("/lease/hand-over", test_hand_over);
  g_test_add_func ("/lease/order-in-flight", test_order_in_flight);
  g_test_add_func ("/lease/offer", test_offer);
  g_test_add_func ("/lease/own-previous-incarnation",
                   test_own_previous_incarnation);
  g_test_add_func ("/lease/missing-row", test_missing_row);
  g_test_add_data_func ("/lease/paused/ignore", GINT_TO_POINTER (0),
                        test_paused);
  g_test_add_data_func ("/lease/paused/check", GINT_TO_POINTER (1),
                        test_paused);
  g_test_add_data_func ("/lease/outage/ignore", GINT_TO_POINTER (0),
                        test_outage);
  g_test_add_data_func ("/lease/outage/check", GINT_TO_POINTER (1),
                        test_outage);
  g_test_add_func ("/lease/traffic", test_traffic);
  return g_test_run ();
}
