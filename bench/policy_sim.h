/* policy_sim - discrete-time simulation of placement with engines and a weight
   store.

   Runs in one process without a network: orders are delivered immediately,
   engines report periodically, and simulated time advances in steps.  */

#ifndef PARSLEYRILL_BENCH_POLICY_SIM_H
#define PARSLEYRILL_BENCH_POLICY_SIM_H

#include <glib.h>
#include "place_policy.h"
#include "policy_workload.h"

enum bench_fault
{
  BENCH_FAULT_NONE = 0,
  BENCH_FAULT_ENGINES = 1, /* engines crash during working hours */
  BENCH_FAULT_STORE = 2,   /* store at a quarter of its rate and speed */
  BENCH_FAULT_BOTH = 3
};

struct bench_run
{
  const struct bench_user *user;
  const struct place_policy *policy;
  unsigned seed;
  unsigned days; /* the last is measured; the policy learns from the others */
  double cold_weight; /* below 0: the user's */
  enum bench_fault fault;
  double trace_s; /* above 0: print orders, and slower cold or refused calls */
};

/* A call of the measured day that found its model not loaded.  */
struct bench_cold_call
{
  double arrival_s;
  double first_token_s; /* after ARRIVAL_S */
  double cold_start_s;  /* first call for the model while not loaded */
  unsigned model;
  bool from_store; /* no disk had the checkpoint at COLD_START_S */
};

struct bench_result
{
  GArray *cold; /* struct bench_cold_call, by start */
  unsigned calls;
  unsigned refused;
  unsigned loads;
  unsigned evictions;
  unsigned prewarmed;
  double idle_h; /* accelerator hours of loaded models without calls */
};

/* The caller frees RESULT->cold.  */
void bench_simulate (const struct bench_run *run, struct bench_result *result);

/* Returns lower bounds of the times to first token of RESULT's cold calls: an
   ideal schedule of the store and disks, with no engine short of memory.  The
   caller frees the sorted array of double.  */
GArray *bench_lower_bound (const struct bench_run *run,
                           const struct bench_result *result);

/* Seconds to fetch MODEL from the store, and to load it from disk, at full
   speed.  */
double bench_fetch_s (unsigned model);
double bench_load_s (unsigned model);

#endif
