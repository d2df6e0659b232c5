#include "place_policy.h"

#include <math.h>
#include <string.h>

#define FIXED_KEEP_ALIVE_S 600.0 /* LRU policies */
/* Seconds of idle accelerator time that are worth one second of cold start, at
   equal weights.  */
#define IDLE_S_PER_COLD_S 200.0
/* The value of cold-start time saved grows with about the square of the reload
   time.  At this reload time it equals that of the linear policy.  */
#define RELOAD_REFERENCE_S 4.0
#define PRIORITY_WEIGHT 0.1   /* relative value per priority level */
#define REQUESTS_PER_SLOT 2.0 /* waiting: more justify a replica */
#define WAITERS_SLACK_S 0.5   /* of slack, per doubling of waiting requests */
#define PRIORITY_SLACK_S 1.0  /* of slack, per priority level */
#define LOSS_FACTOR 1.0       /* cost of a second of expected reload time */
#define ZONE_PENALTY_S 0.5    /* per replica in the same zone */
#define FREE_MEMORY_PENALTY_S 0.1 /* prefers the tightest fit */

static const double horizons_s[] = { 60, 300, 900, 3600, 14400 };

/* Value of keeping a model loaded until the horizon: the expected cold-start
   time saved, less the cost of idle accelerators; the best of all horizons. */
static double
retention_value (const struct place_idle *idle, double reload_factor)
{
  double best = -INFINITY;

  for (size_t i = 0; i < G_N_ELEMENTS (horizons_s); i++)
    {
      double horizon_s = horizons_s[i];
      double call_probability = gaps_call_probability (
          idle->gaps, idle->prior, idle->wall_s, horizon_s);
      double saved = idle->weight * IDLE_S_PER_COLD_S * call_probability
                     * idle->reload_s * reload_factor
                     * (1.0 + PRIORITY_WEIGHT * idle->priority);
      double idle_cost = (1.0 - idle->weight) * idle->share * horizon_s
                         * (1.0 - call_probability / 2.0);

      best = fmax (best, saved - idle_cost);
    }
  return best;
}

static double
standard_cost (const struct place_policy *policy,
               const struct place_candidate *candidate, GRand *rand)
{
  (void)policy;
  (void)rand;
  return candidate->ready_s + LOSS_FACTOR * candidate->loss_s + candidate->load
         + ZONE_PENALTY_S * candidate->zone_replicas
         + FREE_MEMORY_PENALTY_S * candidate->free_after;
}

static double
standard_keep (const struct place_policy *policy,
               const struct place_idle *idle)
{
  (void)policy;
  return retention_value (idle,
                          idle->full_speed_reload_s / RELOAD_REFERENCE_S);
}

static double
standard_order (const struct place_policy *policy,
                const struct place_demand *demand)
{
  (void)policy;
  return demand->slack_s - PRIORITY_SLACK_S * demand->priority
         - WAITERS_SLACK_S * log2 (1.0 + demand->waiting);
}

static bool
standard_worth_replica (const struct place_policy *policy,
                        const struct place_demand *demand)
{
  unsigned replicas = demand->loaded + demand->loading;
  double slots = (double)replicas * demand->slots;

  (void)policy;
  /* It would be loaded after the earliest deadline.  */
  if (demand->slack_s < 0.0)
    return false;
  return demand->waiting > REQUESTS_PER_SLOT * slots;
}

/* The previous standard policy: the value is linear in the reload time.  */
static double
previous_keep (const struct place_policy *policy,
               const struct place_idle *idle)
{
  (void)policy;
  return retention_value (idle, 1.0);
}

static const struct place_policy_ops previous_ops
    = { standard_cost, previous_keep, previous_keep, standard_order,
        standard_worth_replica };

static const struct place_policy_ops standard_ops
    = { standard_cost, standard_keep, standard_keep, standard_order,
        standard_worth_replica };

static double
random_cost (const struct place_policy *policy,
             const struct place_candidate *candidate, GRand *rand)
{
  (void)policy;
  (void)candidate;
  return g_rand_double (rand);
}

static double
least_loaded_cost (const struct place_policy *policy,
                   const struct place_candidate *candidate, GRand *rand)
{
  (void)policy;
  return candidate->load + candidate->loads_in_progress - candidate->free_after
         + 1e-6 * g_rand_double (rand);
}

static double
lru_keep (const struct place_policy *policy, const struct place_idle *idle)
{
  return policy->keep_alive_s - idle->idle_s;
}

static double
lru_prewarm (const struct place_policy *policy, const struct place_idle *idle)
{
  (void)policy;
  (void)idle;
  return -1.0;
}

static double
fifo_order (const struct place_policy *policy,
            const struct place_demand *demand)
{
  (void)policy;
  return -demand->waited_s;
}

static const struct place_policy_ops random_ops
    = { random_cost, lru_keep, lru_prewarm, fifo_order,
        standard_worth_replica };

static const struct place_policy_ops least_loaded_ops
    = { least_loaded_cost, lru_keep, lru_prewarm, fifo_order,
        standard_worth_replica };

static const struct place_policy policies[]
    = { { &standard_ops, "standard", 0.0 },
        { &previous_ops, "previous", 0.0 },
        { &random_ops, "lru-random", FIXED_KEEP_ALIVE_S },
        { &least_loaded_ops, "lru-least-loaded", FIXED_KEEP_ALIVE_S } };

const struct place_policy *
place_policy_standard (void)
{
  return &policies[0];
}

const struct place_policy *
place_policy_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}
