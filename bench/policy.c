#include "bench.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "policy_sim.h"

#define DAYS 6 /* the last one is measured */
#define DEFAULT_SEED 1
#define CURVE_WEIGHTS 7

struct row
{
  const char *policy;
  const char *fault;
  unsigned seed;
  double cold_weight;
  double cold_share;
  double p50, p95, p99;
  double lower_bound_p99;
  struct bench_result result;
};

static const char *const fault_names[]
    = { "none", "engines", "store", "both" };

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
quantile (const GArray *sorted, double q)
{
  if (sorted->len == 0)
    return 0.0;
  return g_array_index (sorted, double, (guint)(q * (sorted->len - 1) + 0.5));
}

static void
run_row (struct bench_run *run, struct row *row)
{
  GArray *cold = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *bound;

  bench_simulate (run, &row->result);
  for (guint i = 0; i < row->result.cold->len; i++)
    g_array_append_val (
        cold, g_array_index (row->result.cold, struct bench_cold_call, i)
                  .first_token_s);
  g_array_sort (cold, compare_doubles);
  bound = bench_lower_bound (run, &row->result);
  row->policy = run->policy->name;
  row->fault = fault_names[run->fault];
  row->seed = run->seed;
  row->cold_weight
      = run->cold_weight >= 0.0 ? run->cold_weight : run->user->cold_weight;
  row->cold_share = 100.0 * cold->len / MAX (row->result.calls, 1u);
  row->p50 = quantile (cold, 0.5);
  row->p95 = quantile (cold, 0.95);
  row->p99 = quantile (cold, 0.99);
  row->lower_bound_p99 = quantile (bound, 0.99);
  g_array_free (cold, TRUE);
  g_array_free (bound, TRUE);
  g_array_free (row->result.cold, TRUE);
}

static void
print_header (FILE *csv)
{
  printf ("%-17s %-8s %4s %6s %6s %6s %6s %6s %6s %6s %5s %7s %7s %6s %6s"
          " %7s\n",
          "policy", "fault", "seed", "weight", "calls", "cold%", "p50_s",
          "p95_s", "p99_s", "bound", "ratio", "refused", "idle_h", "loads",
          "evict", "prewarm");
  if (csv != NULL)
    fprintf (csv, "policy,fault,seed,weight,calls,cold_percent,p50_s,p95_s,"
                  "p99_s,bound_p99_s,refused,idle_h,loads,evictions,"
                  "prewarmed\n");
}

static void
print_row (const struct row *row, FILE *csv)
{
  const struct bench_result *r = &row->result;

  printf ("%-17s %-8s %4u %6.2f %6u %6.2f %6.2f %6.2f %6.2f %6.2f %5.2f %7u"
          " %7.1f %6u %6u %7u\n",
          row->policy, row->fault, row->seed, row->cold_weight, r->calls,
          row->cold_share, row->p50, row->p95, row->p99, row->lower_bound_p99,
          row->lower_bound_p99 > 0.0 ? row->p99 / row->lower_bound_p99 : 0.0,
          r->refused, r->idle_h, r->loads, r->evictions, r->prewarmed);
  fflush (stdout);
  if (csv != NULL)
    fprintf (csv,
             "%s,%s,%u,%.2f,%u,%.2f,%.3f,%.3f,%.3f,%.3f,%u,%.2f,%u,%u,"
             "%u\n",
             row->policy, row->fault, row->seed, row->cold_weight, r->calls,
             row->cold_share, row->p50, row->p95, row->p99,
             row->lower_bound_p99, r->refused, r->idle_h, r->loads,
             r->evictions, r->prewarmed);
}

static void
run_policy (struct bench_run *run, const char *name, FILE *csv)
{
  struct row row = { 0 };

  run->policy = place_policy_find (name);
  run_row (run, &row);
  print_row (&row, csv);
}

static void
run_seed (struct bench_run *run, const char *policy, FILE *csv)
{
  static const char *const policies[]
      = { "lru-random", "lru-least-loaded", "previous", "standard" };

  if (policy != NULL)
    {
      run_policy (run, policy, csv);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    run_policy (run, policies[i], csv);
}

static void
run_weight_sweep (struct bench_run *run, FILE *csv)
{
  static const double weights[CURVE_WEIGHTS]
      = { 0.02, 0.1, 0.2, 0.5, 0.8, 0.9, 0.98 };

  for (size_t i = 0; i < CURVE_WEIGHTS; i++)
    {
      run->cold_weight = weights[i];
      run_policy (run, "standard", csv);
    }
}

static int
parse_fault (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fault_names); i++)
    if (strcmp (fault_names[i], name) == 0)
      return (int)i;
  return -EINVAL;
}

static FILE *
open_csv (const char *path)
{
  FILE *csv = path != NULL ? fopen (path, "w") : NULL;

  if (path != NULL && csv == NULL)
    perror (path);
  return csv;
}

struct arguments
{
  struct arg_str *user;
  struct arg_int *seed;
  struct arg_int *seeds;
  struct arg_str *policy;
  struct arg_str *fault;
  struct arg_dbl *weight;
  struct arg_lit *curve;
  struct arg_dbl *trace;
  struct arg_file *csv;
  struct arg_end *end;
};

static int
run_bench (const struct arguments *a)
{
  const char *user = a->user->count > 0 ? a->user->sval[0] : "kettle";
  int fault = parse_fault (a->fault->count > 0 ? a->fault->sval[0] : "none");
  const char *policy = a->policy->count > 0 ? a->policy->sval[0] : NULL;
  unsigned first
      = a->seed->count > 0 ? (unsigned)a->seed->ival[0] : DEFAULT_SEED;
  unsigned count = a->seeds->count > 0 ? (unsigned)a->seeds->ival[0] : 1;
  struct bench_run run = { 0 };
  FILE *csv;

  run.user = bench_user_find (user);
  if (run.user == NULL || fault < 0
      || (policy != NULL && place_policy_find (policy) == NULL))
    {
      fprintf (stderr,
               "parsley-bench policy: unknown user, fault or policy\n");
      return 2;
    }
  run.days = DAYS;
  run.trace_s = a->trace->count > 0 ? a->trace->dval[0] : 0.0;
  run.fault = (enum bench_fault)fault;
  csv = open_csv (a->csv->count > 0 ? a->csv->filename[0] : NULL);
  print_header (csv);
  for (unsigned i = 0; i < count; i++)
    {
      run.seed = first + i;
      run.cold_weight = a->weight->count > 0 ? a->weight->dval[0] : -1.0;
      if (a->curve->count > 0)
        run_weight_sweep (&run, csv);
      else
        run_seed (&run, policy, csv);
    }
  if (csv != NULL)
    fclose (csv);
  return 0;
}

int
bench_policy (int argc, char **argv)
{
  struct arguments a;
  void *table[10];
  int status = 2;

  a.user = arg_str0 (NULL, "user", "NAME", "kettle or andamios");
  a.seed = arg_int0 (NULL, "seed", "N", "first seed");
  a.seeds = arg_int0 (NULL, "seeds", "N", "number of seeds");
  a.policy = arg_str0 (NULL, "policy", "NAME", "run only this policy");
  a.fault = arg_str0 (NULL, "fault", "KIND", "none, engines, store or both");
  a.weight = arg_dbl0 (NULL, "weight", "W", "cold_weight of the team");
  a.curve = arg_lit0 (NULL, "curve",
                      "run the standard policy over a range of weights");
  a.trace = arg_dbl0 (NULL, "trace", "S",
                      "print orders and cold calls slower than S seconds");
  a.csv = arg_file0 (NULL, "csv", "FILE", "also write the rows to FILE");
  a.end = arg_end (4);
  memcpy (table,
          (void *[]){ a.user, a.seed, a.seeds, a.policy, a.fault, a.weight,
                      a.curve, a.trace, a.csv, a.end },
          sizeof table);
  if (arg_parse (argc, argv, table) == 0)
    status = run_bench (&a);
  else
    {
      arg_print_errors (stderr, a.end, "parsley-bench policy");
      arg_print_glossary (stderr, table, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
