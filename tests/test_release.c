/* Simulates an overload of 200 % in which each request may use only two of
   the replicas.  Guards against idle slots: releasing only the first request
   in the queue leaves slots empty when that request's replicas are full.  */

#include <glib.h>
#include "admit.h"
#include "pick.h"
#include "ts.h"

#define ENGINES 10
#define SLOTS 8
#define SERVICE_MS 1000
#define RUN_MS 60000

struct call
{
  struct admit_entry entry; /* must be first */
  uint64_t fingerprint;
};

struct sim
{
  struct admit *admit;
  struct pick *pick;
  GRand *rand;
  struct timespec now;
  struct route_replica replicas[ENGINES];
  uint64_t busy_ms; /* slot milliseconds in use */
  unsigned sent;
};

static struct admit_request
make_request (struct sim *sim)
{
  struct admit_request request
      = { .target = "t",
          .team = "x",
          .ready = true,
          .service_s = SERVICE_MS / 1000.0,
          .slots = ENGINES * SLOTS,
          .slots_free = pick_free_slots (sim->replicas, ENGINES) };

  request.deadline
      = ts_add_ms (sim->now, g_rand_int_range (sim->rand, 2000, 8000));
  return request;
}

static ptrdiff_t
pick (struct sim *sim, const struct call *call)
{
  struct pick_request request = { .replicas = sim->replicas,
                                  .count = ENGINES,
                                  .fingerprint = call->fingerprint };
  struct pick_explanation why;
  ptrdiff_t at = pick_replica (sim->pick, &request, sim->now, &why);

  return why.free_slot ? at : -1;
}

static bool
has_free_slot (void *user, const struct admit_entry *entry)
{
  return pick (user, (const struct call *)entry) >= 0;
}

/* Sends CALL, or queues it when its replicas are full.  */
static void
route (struct sim *sim, struct call *call)
{
  struct admit_request request = make_request (sim);
  ptrdiff_t at = pick (sim, call);
  struct admit_list ended;

  if (at >= 0)
    {
      sim->replicas[at].engine->inflight++;
      sim->sent++;
      g_free (call);
      return;
    }
  request.slots_free = 0;
  request.deadline = call->entry.deadline;
  admit_list_init (&ended);
  if (admit_offer (sim->admit, &call->entry, &request, sim->now, &ended)
      != ADMIT_WAIT)
    g_free (call);
  g_assert_true (CK_STAILQ_EMPTY (&ended));
}

/* Returns true if any of the requests in ENDED was dispatched.  */
static bool
process_ended (struct sim *sim, struct admit_list *ended)
{
  struct admit_entry *entry;
  bool dispatched = false;

  while ((entry = CK_STAILQ_FIRST (ended)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (ended, ended);
      dispatched |= entry->outcome == ADMIT_DISPATCH;
      if (entry->outcome == ADMIT_DISPATCH)
        route (sim, (struct call *)entry);
      else
        g_free (entry);
    }
  return dispatched;
}

static void
release (struct sim *sim, bool skip_blocked)
{
  struct admit_list ended;
  bool more = true;

  admit_list_init (&ended);
  if (!skip_blocked)
    {
      admit_release (sim->admit, "t", make_request (sim).slots_free, sim->now,
                     &ended);
      process_ended (sim, &ended);
    }
  while (skip_blocked && more)
    {
      admit_release_if (sim->admit, "t", 1, has_free_slot, sim, sim->now,
                        &ended);
      more = process_ended (sim, &ended);
    }
}

static void
arrive (struct sim *sim)
{
  struct call *call = g_new0 (struct call, 1);
  struct admit_request request = make_request (sim);
  struct admit_list ended;
  enum admit_outcome outcome;

  call->fingerprint = g_rand_int (sim->rand) | 1u;
  admit_list_init (&ended);
  outcome = admit_offer (sim->admit, &call->entry, &request, sim->now, &ended);
  if (outcome == ADMIT_DISPATCH)
    route (sim, call);
  else if (outcome == ADMIT_REFUSED)
    g_free (call);
}

static void
step (struct sim *sim, bool skip_blocked)
{
  struct admit_list ended;

  sim->now = ts_add_ms (sim->now, 1);
  admit_list_init (&ended);
  admit_expire (sim->admit, sim->now, &ended);
  process_ended (sim, &ended);
  for (unsigned i = 0; i < ENGINES; i++)
    for (unsigned n = sim->replicas[i].engine->inflight; n > 0; n--)
      if (g_rand_int_range (sim->rand, 0, SERVICE_MS) == 0)
        sim->replicas[i].engine->inflight--;
  release (sim, skip_blocked);
  for (unsigned i = 0; i < ENGINES; i++)
    sim->busy_ms += sim->replicas[i].engine->inflight;
}

static double
busy_percent (bool skip_blocked)
{
  struct admit_options admit = { .threads = 1 };
  struct pick_options pick_options = { .zone = "a", .seed = 1 };
  struct sim sim = { .admit = admit_new (&admit),
                     .pick = pick_new (&pick_options),
                     .rand = g_rand_new_with_seed (3) };
  struct admit_list ended;

  for (unsigned i = 0; i < ENGINES; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      sim.replicas[i].engine = route_engine_new (id, "127.0.0.1:1", "b", "p");
      sim.replicas[i].slots = SLOTS;
    }
  for (int ms = 0; ms < RUN_MS; ms++)
    {
      if (g_rand_int_range (sim.rand, 0, SERVICE_MS) < 2 * ENGINES * SLOTS)
        arrive (&sim);
      step (&sim, skip_blocked);
    }
  sim.now = ts_add_ms (sim.now, 10000);
  admit_list_init (&ended);
  admit_expire (sim.admit, sim.now, &ended);
  process_ended (&sim, &ended);
  for (unsigned i = 0; i < ENGINES; i++)
    route_engine_unref (sim.replicas[i].engine);
  admit_free (sim.admit);
  pick_free (sim.pick);
  g_rand_free (sim.rand);
  return 100.0 * (double)sim.busy_ms / ((double)RUN_MS * ENGINES * SLOTS);
}

static void
test_overload (void)
{
  double first = busy_percent (false);
  double skip_blocked = busy_percent (true);

  g_test_message ("slots in use: %.1f %% when only the first request may be "
                  "sent, %.1f %% when blocked requests are skipped",
                  first, skip_blocked);
  g_assert_cmpfloat (skip_blocked, >, 95);
  g_assert_cmpfloat (skip_blocked, >, first);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/release/overload", test_overload);
  return g_test_run ();
}
