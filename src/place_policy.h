/* place_policy - the choices of the placement decider that may vary.

   Pure functions of the figures given; the standard policy weighs cold-start
   time against idle memory, the fixed ones are for comparison.  */

#ifndef PARSLEYRILL_PLACE_POLICY_H
#define PARSLEYRILL_PLACE_POLICY_H

#include <stdbool.h>
#include <glib.h>
#include "gaps.h"

/* One engine for one load.  */
struct place_candidate
{
  bool on_disk;
  double ready_s;    /* estimate until the model is loaded there */
  double loss_s;     /* expected reload seconds of what must be evicted */
  double load;       /* running and queued over slots */
  double free_after; /* share of its memory left free */
  unsigned loads_in_progress; /* loads */
  unsigned zone_replicas;     /* replicas of the model in the engine's zone */
};

/* A model without running requests, on an engine or not.  */
struct place_idle
{
  const struct gaps *gaps;
  const struct gaps *prior;
  double wall_s;
  double idle_s;              /* since its last use */
  double reload_s;            /* seconds that a cold call would wait */
  double full_speed_reload_s; /* with the store at full speed */
  double share;               /* accelerators that its memory takes */
  double weight;              /* of cold-start time, 0 to 1 */
  unsigned priority;
};

/* A model that requests wait for.  */
struct place_demand
{
  double slack_s; /* to the earliest deadline, less the load */
  double waited_s;
  double load_s;
  unsigned priority;
  unsigned waiting;
  unsigned loaded;  /* replicas */
  unsigned loading; /* replicas */
  unsigned slots;   /* of a replica */
};

struct place_policy;

struct place_policy_ops
{
  /* The least is taken.  */
  double (*engine_cost) (const struct place_policy *policy,
                         const struct place_candidate *candidate, GRand *rand);
  /* Below 0 the copy is unloaded; the least is evicted first.  */
  double (*keep_value) (const struct place_policy *policy,
                        const struct place_idle *idle);
  /* Above 0 the model is loaded before it is called.  */
  double (*prewarm_value) (const struct place_policy *policy,
                           const struct place_idle *idle);
  /* The least is loaded first.  */
  double (*load_order_key) (const struct place_policy *policy,
                            const struct place_demand *demand);
  /* Whether a further replica is worth it.  */
  bool (*worth_replica) (const struct place_policy *policy,
                         const struct place_demand *demand);
};

struct place_policy
{
  const struct place_policy_ops *ops;
  const char *name;
  double keep_alive_s; /* fixed policies */
};

const struct place_policy *place_policy_standard (void);

/* "standard", "previous", "lru-random", "lru-least-loaded"; NULL for any
   other name.  */
const struct place_policy *place_policy_find (const char *name);

#endif
