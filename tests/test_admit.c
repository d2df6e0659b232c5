/* Tests of admission on a manual clock.  */

#include <glib.h>
#include "admit.h"
#include "ts.h"

#define STEP_MS 5
#define RUN_MS 120000
#define SERVICE_MS 1000
#define SLOTS 8
#define TARGETS 2

struct call
{
  struct admit_entry entry; /* must be first */
  unsigned target;
  struct timespec ends;
};

struct sim
{
  struct admit *admit;
  struct timespec now;
  GRand *rand;
  GQueue running[TARGETS];
  unsigned slots[TARGETS];
  unsigned offered[ADMIT_PRIORITIES];
  unsigned in_time[TARGETS];
  unsigned late[TARGETS];
  unsigned refused[TARGETS];
  unsigned served_in_time[ADMIT_PRIORITIES]; /* by priority */
};

static const char *const names[TARGETS] = { "overloaded", "normal" };

static struct admit_request
admission_request (const struct sim *sim, unsigned target, unsigned priority)
{
  struct admit_request request = { .target = names[target],
                                   .team = names[target],
                                   .priority = priority,
                                   .ready = true,
                                   .service_s = SERVICE_MS / 1000.0 };

  request.slots = sim->slots[target];
  request.slots_free
      = sim->slots[target] - MIN (sim->running[target].length, request.slots);
  return request;
}

static void
start_call (struct sim *sim, struct call *call)
{
  int64_t service_ms
      = g_rand_int_range (sim->rand, SERVICE_MS / 2, SERVICE_MS * 3 / 2);

  g_assert_true (ts_before (sim->now, call->entry.deadline));
  call->ends = ts_add_ms (sim->now, service_ms);
  g_queue_push_tail (&sim->running[call->target], call);
}

static void
process_ended (struct sim *sim, struct admit_list *ended)
{
  struct admit_entry *entry;

  while ((entry = CK_STAILQ_FIRST (ended)) != NULL)
    {
      struct call *call = (struct call *)entry;

      CK_STAILQ_REMOVE_HEAD (ended, ended);
      if (entry->outcome == ADMIT_DISPATCH)
        {
          start_call (sim, call);
          continue;
        }
      g_assert_cmpint (entry->outcome, ==, ADMIT_REFUSED);
      g_assert_cmpint (entry->reason, !=, ADMIT_NONE);
      g_assert_cmpint (entry->retry_after_s, >=, 1);
      sim->refused[call->target]++;
      g_free (call);
    }
}

static void
arrive (struct sim *sim, unsigned target, unsigned priority)
{
  struct admit_request request = admission_request (sim, target, priority);
  struct call *call = g_new0 (struct call, 1);
  struct admit_list ended;

  admit_list_init (&ended);
  call->target = target;
  request.deadline
      = ts_add_ms (sim->now, g_rand_int_range (sim->rand, 2000, 8000));
  sim->offered[priority]++;
  if (admit_offer (sim->admit, &call->entry, &request, sim->now, &ended)
      != ADMIT_WAIT)
    CK_STAILQ_INSERT_TAIL (&ended, &call->entry, ended);
  process_ended (sim, &ended);
}

static void
finish (struct sim *sim, unsigned target)
{
  GList *next;

  for (GList *at = sim->running[target].head; at != NULL; at = next)
    {
      struct call *call = at->data;

      next = at->next;
      if (ts_before (sim->now, call->ends))
        continue;
      g_queue_delete_link (&sim->running[target], at);
      if (ts_before (call->entry.deadline, call->ends))
        sim->late[target]++;
      else
        {
          sim->in_time[target]++;
          sim->served_in_time[call->entry.priority]++;
        }
      g_free (call);
    }
}

static void
step (struct sim *sim)
{
  struct admit_list ended;
  struct timespec next;

  sim->now = ts_add_ms (sim->now, STEP_MS);
  admit_list_init (&ended);
  admit_expire (sim->admit, sim->now, &ended);
  for (unsigned target = 0; target < TARGETS; target++)
    {
      finish (sim, target);
      admit_release (sim->admit, names[target],
                     admission_request (sim, target, 0).slots_free, sim->now,
                     &ended);
    }
  process_ended (sim, &ended);
  if (admit_next_deadline (sim->admit, &next))
    g_assert_true (ts_before (sim->now, next));
}

static void
sim_init (struct sim *sim)
{
  struct admit_options options = { .threads = 1 };

  *sim = (struct sim){ .slots = { SLOTS, SLOTS } };
  sim->admit = admit_new (&options);
  sim->now = ts_from_ms (1000);
  sim->rand = g_rand_new_with_seed (1);
}

static void
sim_finish (struct sim *sim)
{
  for (int ms = 0; ms < 20000; ms += STEP_MS)
    step (sim);
  for (unsigned target = 0; target < TARGETS; target++)
    g_assert_cmpuint (sim->running[target].length, ==, 0);
  admit_free (sim->admit);
  g_rand_free (sim->rand);
}

static bool
arrives (struct sim *sim, double per_s)
{
  return g_rand_double (sim->rand) < per_s * STEP_MS / 1000;
}

#define CAPACITY (SLOTS * 1000.0 / SERVICE_MS) /* requests per second */

/* Overload of one target at twice its capacity must not affect the other,
   which is at half of its capacity.  */
static void
test_overload (void)
{
  struct sim sim;
  double capacity = CAPACITY * RUN_MS / 1000;
  unsigned in_time;

  sim_init (&sim);
  for (int ms = 0; ms < RUN_MS; ms += STEP_MS)
    {
      if (arrives (&sim, 2 * CAPACITY))
        arrive (&sim, 0, 5);
      if (arrives (&sim, CAPACITY / 2))
        arrive (&sim, 1, 5);
      step (&sim);
    }
  in_time = sim.in_time[0];
  sim_finish (&sim);
  g_test_message ("goodput %.1f %% of capacity, late %u, refused %u; other "
                  "target refused %u, late %u",
                  100 * in_time / capacity, sim.late[0], sim.refused[0],
                  sim.refused[1], sim.late[1]);
  g_assert_cmpfloat (in_time, >, 0.9 * capacity);
  g_assert_cmpuint (sim.late[0], <, sim.in_time[0] / 20);
  g_assert_cmpuint (sim.refused[1], ==, 0);
  g_assert_cmpuint (sim.late[1], ==, 0);
}

/* High-priority load at 1.5 times the capacity plus some low-priority
   load: high priority goes first, low priority is not starved.  */
static void
test_priorities (void)
{
  struct sim sim;

  sim_init (&sim);
  for (int ms = 0; ms < RUN_MS; ms += STEP_MS)
    {
      if (arrives (&sim, 1.5 * CAPACITY))
        arrive (&sim, 0, 8);
      if (arrives (&sim, 0.2 * CAPACITY))
        arrive (&sim, 0, 2);
      step (&sim);
    }
  sim_finish (&sim);
  g_test_message ("high %u of %u, low %u of %u", sim.served_in_time[8],
                  sim.offered[8], sim.served_in_time[2], sim.offered[2]);
  g_assert_cmpuint (sim.served_in_time[8] * 100, >, sim.offered[8] * 50);
  g_assert_cmpuint (sim.served_in_time[2] * 100, >, sim.offered[2] * 25);
}

static enum admit_outcome
offer_one (struct admit *admit, struct admit_entry *entry, const char *target,
           unsigned priority, struct admit_list *ended)
{
  struct admit_request request = { .target = target,
                                   .team = "t",
                                   .priority = priority,
                                   .deadline = ts_from_ms (60000),
                                   .target_max = 1,
                                   .team_max = 2 };

  return admit_offer (admit, entry, &request, ts_from_ms (1), ended);
}

/* Queue bounds and displacement.  A target that is not loaded keeps its
   requests waiting.  */
static void
test_bounds (void)
{
  struct admit_options options = { .threads = 1 };
  struct admit *admit = admit_new (&options);
  struct admit_entry e[5];
  struct admit_list ended;

  admit_list_init (&ended);
  g_assert_cmpint (offer_one (admit, &e[0], "a", 5, &ended), ==, ADMIT_WAIT);
  g_assert_cmpint (offer_one (admit, &e[1], "a", 5, &ended), ==,
                   ADMIT_REFUSED);
  g_assert_cmpint (e[1].reason, ==, ADMIT_TARGET_FULL);
  g_assert_cmpint (offer_one (admit, &e[1], "b", 5, &ended), ==, ADMIT_WAIT);
  g_assert_cmpint (offer_one (admit, &e[2], "c", 5, &ended), ==,
                   ADMIT_REFUSED);
  g_assert_cmpint (e[2].reason, ==, ADMIT_TEAM_FULL);
  g_assert_cmpint (offer_one (admit, &e[2], "a", 6, &ended), ==, ADMIT_WAIT);
  g_assert_true (CK_STAILQ_FIRST (&ended) == &e[0]);
  g_assert_cmpint (e[0].reason, ==, ADMIT_DISPLACED);
  admit_list_init (&ended);
  g_assert_cmpint (offer_one (admit, &e[3], "c", 9, &ended), ==, ADMIT_WAIT);
  g_assert_true (CK_STAILQ_FIRST (&ended) == &e[1]);
  g_assert_cmpuint (admit_waiting_count (admit, "b", NULL), ==, 0);
  admit_cancel (admit, &e[2]);
  admit_cancel (admit, &e[3]);
  admit_cancel (admit, &e[3]);
  admit_free (admit);
}

/* The estimated load time increases: requests that can no longer be
   answered in time are refused at once, not at their deadline.  */
static void
test_refuse_early (void)
{
  struct admit_options options = { .threads = 1 };
  struct admit *admit = admit_new (&options);
  struct admit_request request = { .target = "a",
                                   .team = "t",
                                   .deadline = ts_from_ms (10000),
                                   .ready_at = ts_from_ms (5000),
                                   .service_s = 1 };
  struct admit_entry e[2];
  struct admit_list ended;

  admit_list_init (&ended);
  g_assert_cmpint (
      admit_offer (admit, &e[0], &request, ts_from_ms (0), &ended), ==,
      ADMIT_WAIT);
  request.deadline = ts_from_ms (30000);
  g_assert_cmpint (
      admit_offer (admit, &e[1], &request, ts_from_ms (0), &ended), ==,
      ADMIT_WAIT);
  request.ready_at = ts_from_ms (12000);
  admit_reevaluate (admit, &request, ts_from_ms (1000), &ended);
  g_assert_true (CK_STAILQ_FIRST (&ended) == &e[0]);
  g_assert_cmpint (e[0].reason, ==, ADMIT_TOO_LATE);
  g_assert_null (CK_STAILQ_NEXT (&e[0], ended));
  g_assert_cmpuint (admit_waiting_count (admit, "a", NULL), ==, 1);
  admit_cancel (admit, &e[1]);
  admit_free (admit);
}

/* A stall without grants that ends again must not cause waiting requests
   to be refused.  */
static void
check_stall (double service_s)
{
  struct admit_options options = { .threads = 1 };
  struct admit *admit = admit_new (&options);
  struct admit_request request = { .target = "a",
                                   .team = "t",
                                   .deadline = ts_from_ms (30000),
                                   .ready = true,
                                   .service_s = service_s,
                                   .slots = 1 };
  struct admit_entry e[30];
  struct admit_list ended;

  admit_list_init (&ended);
  for (unsigned i = 0; i < G_N_ELEMENTS (e); i++)
    g_assert_cmpint (
        admit_offer (admit, &e[i], &request, ts_from_ms (0), &ended), ==,
        ADMIT_WAIT);
  admit_release (admit, "a", 1, ts_from_ms (10), &ended);
  admit_reevaluate (admit, &request, ts_from_ms (5000), &ended);
  admit_release (admit, "a", 1, ts_from_ms (5010), &ended);
  admit_reevaluate (admit, &request, ts_from_ms (5010), &ended);
  g_assert_cmpuint (admit_waiting_count (admit, "a", NULL), ==,
                    G_N_ELEMENTS (e) - 2);
  for (unsigned i = 0; i < G_N_ELEMENTS (e); i++)
    admit_cancel (admit, &e[i]);
  admit_free (admit);
}

static void
test_stall (void)
{
  check_stall (0.1);
}

/* The same before any service time is known.  */
static void
test_stall_unmeasured (void)
{
  check_stall (0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admit/overload", test_overload);
  g_test_add_func ("/admit/priorities", test_priorities);
  g_test_add_func ("/admit/bounds", test_bounds);
  g_test_add_func ("/admit/refuse-early", test_refuse_early);
  g_test_add_func ("/admit/stall", test_stall);
  g_test_add_func ("/admit/stall-unmeasured", test_stall_unmeasured);
  return g_test_run ();
}
