#include "policy_sim.h"

#include <math.h>

#define PREFILL_S 0.3
#define STORE_FAULT_FACTOR 0.25
#define STORE_SLOTS_MAX 16

struct cold_start
{
  double at_s;
  unsigned model;
  bool from_store;
  double ready_s;
};

static gint
compare_cold_starts (gconstpointer a, gconstpointer b)
{
  double x = ((const struct cold_start *)a)->at_s;
  double y = ((const struct cold_start *)b)->at_s;

  return (x > y) - (x < y);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static struct cold_start *
find_cold_start (GArray *cold_starts, const struct bench_cold_call *cold)
{
  for (guint i = 0; i < cold_starts->len; i++)
    {
      struct cold_start *cold_start
          = &g_array_index (cold_starts, struct cold_start, i);

      if (cold_start->model == cold->model
          && cold_start->at_s == cold->cold_start_s)
        return cold_start;
    }
  return NULL;
}

static GArray *
collect_cold_starts (const struct bench_result *result)
{
  GArray *cold_starts = g_array_new (FALSE, FALSE, sizeof (struct cold_start));

  for (guint i = 0; i < result->cold->len; i++)
    {
      struct bench_cold_call *cold
          = &g_array_index (result->cold, struct bench_cold_call, i);
      struct cold_start cold_start
          = { cold->cold_start_s, cold->model, cold->from_store, 0.0 };

      if (find_cold_start (cold_starts, cold) == NULL)
        g_array_append_val (cold_starts, cold_start);
    }
  g_array_sort (cold_starts, compare_cold_starts);
  return cold_starts;
}

/* Schedules the fetches on the slots of the store, each at full speed and with
   starts spaced by the rate of the store.  */
static void
schedule_loads (const struct bench_run *run, GArray *cold_starts)
{
  double factor = run->fault & BENCH_FAULT_STORE ? STORE_FAULT_FACTOR : 1.0;
  double spacing_s = 1.0 / (run->user->loads_per_s * factor);
  unsigned slots = MIN (run->user->loads_at_once, STORE_SLOTS_MAX);
  double slot_free_s[STORE_SLOTS_MAX] = { 0 };
  double next_start_s = 0.0;

  for (guint i = 0; i < cold_starts->len; i++)
    {
      struct cold_start *cold_start
          = &g_array_index (cold_starts, struct cold_start, i);
      double start_s = cold_start->at_s;
      unsigned slot = 0;

      if (cold_start->from_store)
        {
          for (unsigned j = 1; j < slots; j++)
            if (slot_free_s[j] < slot_free_s[slot])
              slot = j;
          start_s = fmax (start_s, fmax (slot_free_s[slot], next_start_s));
          next_start_s = start_s + spacing_s;
          start_s += bench_fetch_s (cold_start->model) / factor;
          slot_free_s[slot] = start_s;
        }
      cold_start->ready_s = start_s + bench_load_s (cold_start->model);
    }
}

GArray *
bench_lower_bound (const struct bench_run *run,
                   const struct bench_result *result)
{
  GArray *bound = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *cold_starts = collect_cold_starts (result);

  schedule_loads (run, cold_starts);
  for (guint i = 0; i < result->cold->len; i++)
    {
      struct bench_cold_call *cold
          = &g_array_index (result->cold, struct bench_cold_call, i);
      struct cold_start *cold_start = find_cold_start (cold_starts, cold);
      double s = PREFILL_S + fmax (cold_start->ready_s - cold->arrival_s, 0.0);

      g_array_append_val (bound, s);
    }
  g_array_sort (bound, compare_doubles);
  g_array_free (cold_starts, TRUE);
  return bound;
}
