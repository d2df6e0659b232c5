/* policy_workload - seeded synthetic workloads of two users.

   A day is an array of calls sorted by arrival.  The same user, seed and day
   number give the same calls.  Times are seconds since the start of the first
   day.  */

#ifndef PARSLEYRILL_BENCH_POLICY_WORKLOAD_H
#define PARSLEYRILL_BENCH_POLICY_WORKLOAD_H

#include <stdbool.h>
#include <glib.h>

#define DAY_S 86400.0
#define BENCH_NODES 5
#define BENCH_MODELS 30

struct bench_user
{
  const char *name;
  unsigned engines[2]; /* by pool */
  unsigned models[2];  /* by pool */
  unsigned adapters;
  double loads_per_s;     /* limit of the weight store */
  unsigned loads_at_once; /* that the store serves at full speed */
  double cold_weight;     /* of its team */
  double open_h, close_h; /* working hours */
  double off_hours_share; /* share of sessions at any time of day */
  unsigned bursts;        /* per day, when many models are called at once */
  unsigned burst_models;
  double burst_spread_s;     /* the models of a burst are called within it */
  double burst_duration_s;   /* time that the later sessions are spread over */
  double afternoon_sessions; /* added to every third model, if above 1 */
};

struct bench_call
{
  double arrival_s;
  unsigned model;
  int adapter; /* -1: none */
  unsigned node;
  double service_s;  /* after the first token */
  double deadline_s; /* absolute time */
};

const struct bench_user *bench_user_find (const char *name);

/* Memory of model I in MB, without the KV cache reserve.  */
unsigned bench_model_mb (unsigned i);

/* Returns an array of struct bench_call; the caller frees it.  */
GArray *bench_day_calls (const struct bench_user *user, unsigned seed,
                         unsigned day);

#endif
