#include "policy_workload.h"

#include <math.h>
#include <string.h>

#define DEADLINE_S 60.0
#define SESSION_GAP_S 45.0 /* mean time between calls of a session */
#define SERVICE_MIN_S 2.0
#define SERVICE_EXTRA_MEAN_S 6.0 /* mean above the minimum */
#define ADAPTER_SHARE 0.5
#define MB_PER_GB 1024u

static const struct bench_user users[] = {
  { .name = "kettle",
    .engines = { 10, 4 },
    .models = { 21, 9 },
    .adapters = 55,
    .loads_per_s = 1.5,
    .loads_at_once = 4,
    .cold_weight = 0.8,
    .open_h = 7.0,
    .close_h = 18.0,
    .off_hours_share = 0.08,
    .bursts = 3,
    .burst_models = 14,
    .burst_spread_s = 40.0,
    .burst_duration_s = 1200.0,
    .afternoon_sessions = 2.0 },
  { .name = "andamios",
    .engines = { 12, 4 },
    .models = { 23, 7 },
    .adapters = 65,
    .loads_per_s = 3.0,
    .loads_at_once = 4,
    .cold_weight = 0.2,
    .open_h = 9.0,
    .close_h = 19.0,
    .off_hours_share = 0.0,
    .bursts = 2,
    .burst_models = 10,
    .burst_spread_s = 120.0,
    .burst_duration_s = 7200.0,
    .afternoon_sessions = 1.0 },
};

const struct bench_user *
bench_user_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (users); i++)
    if (strcmp (users[i].name, name) == 0)
      return &users[i];
  return NULL;
}

unsigned
bench_model_mb (unsigned i)
{
  static const unsigned gb[] = { 8, 14, 26, 8, 16, 32, 14, 8, 20, 14 };

  return gb[i % G_N_ELEMENTS (gb)] * MB_PER_GB;
}

static double
exponential (GRand *rand, double mean)
{
  return -mean * log (1.0 - g_rand_double (rand));
}

static void
add_call (GArray *calls, GRand *rand, const struct bench_user *user,
          unsigned model, double arrival_s)
{
  struct bench_call call;
  unsigned adapters_per_model = user->adapters / BENCH_MODELS;

  call.arrival_s = arrival_s;
  call.model = model;
  call.adapter = -1;
  if (adapters_per_model > 0 && g_rand_double (rand) < ADAPTER_SHARE)
    call.adapter = (int)(model * adapters_per_model
                         + (unsigned)g_rand_int_range (
                             rand, 0, (int)adapters_per_model));
  call.node = (unsigned)g_rand_int_range (rand, 0, BENCH_NODES);
  call.service_s = SERVICE_MIN_S + exponential (rand, SERVICE_EXTRA_MEAN_S);
  call.deadline_s = arrival_s + DEADLINE_S;
  g_array_append_val (calls, call);
}

static void
add_session (GArray *calls, GRand *rand, const struct bench_user *user,
             unsigned model, double arrival_s, double gap_s)
{
  int count = g_rand_int_range (rand, 1, 8);

  for (int i = 0; i < count; i++)
    {
      add_call (calls, rand, user, model, arrival_s);
      arrival_s += exponential (rand, gap_s);
    }
}

/* Returns a second of the day: within working hours, or at any time for the
   share OFF_HOURS_SHARE.  */
static double
session_start (GRand *rand, const struct bench_user *user)
{
  double open_s = user->open_h * 3600.0;
  double close_s = user->close_h * 3600.0;

  if (g_rand_double (rand) < user->off_hours_share)
    return g_rand_double_range (rand, 0.0, DAY_S);
  return g_rand_double_range (rand, open_s, close_s);
}

/* Most models have few sessions a day and some have many.  */
static unsigned
daily_session_count (GRand *rand, unsigned model)
{
  double mean = 1.0 + 20.0 / (1.0 + model % 10 * 2.0);

  return (unsigned)floor (mean * g_rand_double_range (rand, 0.6, 1.4));
}

static void
add_afternoon_sessions (GArray *calls, GRand *rand,
                        const struct bench_user *user, unsigned model,
                        double start_s)
{
  if (user->afternoon_sessions <= 1.0 || model % 3 != 0)
    return;
  for (int i = 0; i < (int)user->afternoon_sessions; i++)
    add_session (calls, rand, user, model,
                 start_s + g_rand_double_range (rand, 15.0, 17.0) * 3600.0,
                 SESSION_GAP_S);
}

/* Adds calls for many models within a short time, each at several nodes, and
   later sessions of these models.  */
static void
add_burst (GArray *calls, GRand *rand, const struct bench_user *user,
           double start_s)
{
  unsigned first = (unsigned)g_rand_int_range (rand, 0, BENCH_MODELS);

  for (unsigned i = 0; i < user->burst_models; i++)
    {
      unsigned model = (first + i * 7) % BENCH_MODELS;
      double arrival_s
          = start_s + g_rand_double_range (rand, 0.0, user->burst_spread_s);
      int initial_calls = g_rand_int_range (rand, 2, 6);
      int later_sessions = g_rand_int_range (rand, 1, 4);

      for (int j = 0; j < initial_calls; j++)
        add_call (calls, rand, user, model,
                  arrival_s + g_rand_double_range (rand, 0.0, 3.0));
      for (int j = 0; j < later_sessions; j++)
        add_session (
            calls, rand, user, model,
            arrival_s
                + g_rand_double_range (rand, 0.0, user->burst_duration_s),
            SESSION_GAP_S);
    }
}

static gint
compare_arrivals (gconstpointer a, gconstpointer b)
{
  double x = ((const struct bench_call *)a)->arrival_s;
  double y = ((const struct bench_call *)b)->arrival_s;

  return (x > y) - (x < y);
}

GArray *
bench_day_calls (const struct bench_user *user, unsigned seed, unsigned day)
{
  GArray *calls = g_array_new (FALSE, FALSE, sizeof (struct bench_call));
  GRand *rand = g_rand_new_with_seed (seed * 1000u + day);
  double start_s = day * DAY_S;

  for (unsigned model = 0; model < BENCH_MODELS; model++)
    {
      unsigned count = daily_session_count (rand, model);

      for (unsigned i = 0; i < count; i++)
        add_session (calls, rand, user, model,
                     start_s + session_start (rand, user), SESSION_GAP_S);
      add_afternoon_sessions (calls, rand, user, model, start_s);
    }
  for (unsigned i = 0; i < user->bursts; i++)
    add_burst (calls, rand, user,
               start_s
                   + g_rand_double_range (rand, user->open_h + 1.0,
                                          user->close_h - 1.0)
                         * 3600.0);
  g_array_sort (calls, compare_arrivals);
  g_rand_free (rand);
  return calls;
}
