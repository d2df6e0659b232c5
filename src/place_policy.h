/* place_policy - interchangeable placement policies.

   Pure functions of their arguments.  The standard policy weighs cold-start
   time against idle memory; the LRU policies with a fixed keep-alive are
   baselines for comparison.  */

#ifndef PARSLEYRILL_PLACE_POLICY_H
#define PARSLEYRILL_PLACE_POLICY_H

#include <stdbool.h>
#include <glib.h>
#include "gaps.h"

/* An engine considered for a load of a model.  */
struct place_candidate
{
  bool on_disk;
  double ready_s;    /* estimated time until the model is loaded */
  double loss_s;     /* expected reload time of the models to evict */
  double load;       /* running and queued requests per slot */
  double free_after; /* fraction of memory left free */
  unsigned loads_in_progress;
  unsigned zone_replicas; /* of the model, in the engine's zone */
};

/* A model without running requests, loaded or not.  */
struct place_idle
{
  const struct gaps *gaps;
  const struct gaps *prior;
  double wall_s;
  double idle_s;              /* since its last use */
  double reload_s;            /* expected cold-start time */
  double full_speed_reload_s; /* with the weight store at full speed */
  double share;               /* accelerators occupied, by share of memory */
  double weight;              /* of cold-start time, 0 to 1 */
  unsigned priority;          /* higher is more valuable */
};

/* A model with waiting requests or too few replicas.  */
struct place_demand
{
  double slack_s; /* to the earliest deadline, less the load time */
  double waited_s;
  double load_s;
  unsigned priority; /* higher is more urgent */
  unsigned waiting;
  unsigned loaded;  /* replicas */
  unsigned loading; /* replicas */
  unsigned slots;   /* per replica */
};

struct place_policy;

struct place_policy_ops
{
  /* The engine of least cost is chosen.  */
  double (*engine_cost) (const struct place_policy *policy,
                         const struct place_candidate *candidate, GRand *rand);
  /* A copy of negative value is unloaded; the least value is evicted first. */
  double (*keep_value) (const struct place_policy *policy,
                        const struct place_idle *idle);
  /* A model of positive value is loaded ahead of requests.  */
  double (*prewarm_value) (const struct place_policy *policy,
                           const struct place_idle *idle);
  /* Models are loaded in ascending order of this key.  */
  double (*load_order_key) (const struct place_policy *policy,
                            const struct place_demand *demand);
  /* Whether the queue justifies one more replica.  */
  bool (*worth_replica) (const struct place_policy *policy,
                         const struct place_demand *demand);
};

struct place_policy
{
  const struct place_policy_ops *ops;
  const char *name;
  double keep_alive_s; /* LRU policies only: fixed retention */
};

const struct place_policy *place_policy_standard (void);

/* NAME is "standard", "previous", "lru-random" or "lru-least-loaded"; returns
   NULL for any other name.  */
const struct place_policy *place_policy_find (const char *name);

#endif
