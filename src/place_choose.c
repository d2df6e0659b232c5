#include "place_state.h"

#include <math.h>
#include "ts.h"

#define REPORT_MAX_AGE_MS 15000 /* older: free memory is not relied on */
#define UNLOAD_ESTIMATE_S 0.3   /* from the order to its report */
#define RECENTLY_USED_MS 3000   /* no eviction this soon after the last use */
#define LOSS_HORIZON_S 900.0    /* requests in this time are delayed */
#define ADAPTER_PENALTY_S 30.0  /* engine too small for a requested adapter */
#define EVICTIONS_MAX 16        /* for one load */

/* An engine considered for a load, and the copies to evict there.  */
struct choice
{
  struct place_engine *engine;
  struct place_candidate candidate;
  double cost;
  bool fits; /* without waiting for an unload */
  struct place_copy *evict[EVICTIONS_MAX];
  unsigned evictions;
};

static bool
may_load_on (const struct place_engine *engine,
             const struct place_target *target, struct timespec now)
{
  if (engine->leaving || !engine->reported)
    return false;
  if (ts_before (ts_add_ms (engine->state_at, REPORT_MAX_AGE_MS), now))
    return false;
  if (target->avoid == engine)
    return false;
  return !g_hash_table_contains (engine->copies, target->checkpoint);
}

static bool
may_evict_copy (const struct place_copy *copy, struct timespec now)
{
  const struct place_target *target = copy->target;

  if (copy->state != BACKEND_COPY_LOADED || copy->order != NULL)
    return false;
  if (copy->active > 0 || target->waiting_count > 0)
    return false;
  if (target->version != NULL && target->copy_count <= target->min_replicas)
    return false;
  return ts_before (ts_add_ms (copy->used_at, RECENTLY_USED_MS), now);
}

/* Expected reload time caused by evicting COPY.  */
static double
eviction_loss_s (const struct place *place, const struct place_copy *copy,
                 struct timespec now)
{
  const struct place_target *target = copy->target;

  if (target->gaps == NULL || target->version == NULL)
    return 0.0;
  return gaps_call_probability (target->gaps, target->prior,
                                place_wall_s (place, now), LOSS_HORIZON_S)
         * place_reload_s (place, target);
}

/* Least valuable evictable model copy that is not in CHOICE yet.  */
static struct place_copy *
least_valuable (const struct place *place, const struct choice *choice,
                struct timespec now)
{
  struct place_copy *best = NULL;
  double best_value = INFINITY;
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &choice->engine->list, engine_link)
    {
      double value;
      bool selected = false;

      for (unsigned i = 0; i < choice->evictions; i++)
        selected = selected || choice->evict[i] == copy;
      if (selected || copy->target->adapter || !may_evict_copy (copy, now))
        continue;
      value = place_keep_value (place, copy, now);
      if (best != NULL && value >= best_value)
        continue;
      best = copy;
      best_value = value;
    }
  return best;
}

/* Selects the copies whose eviction frees NEED_MB.  Returns false when that is
   impossible.  */
static bool
make_room (const struct place *place, struct choice *choice, uint64_t need_mb,
           bool may_evict, struct timespec now)
{
  struct place_engine *engine = choice->engine;
  uint64_t room = place_engine_free (engine);

  choice->fits = room >= need_mb;
  room += engine->unloading_mb;
  while (room < need_mb)
    {
      struct place_copy *copy;

      if (!may_evict || choice->evictions == EVICTIONS_MAX)
        return false;
      copy = least_valuable (place, choice, now);
      if (copy == NULL)
        return false;
      choice->evict[choice->evictions++] = copy;
      choice->candidate.loss_s += eviction_loss_s (place, copy, now);
      room += copy->memory_mb;
    }
  choice->candidate.free_after
      = (double)(room - need_mb) / (double)engine->memory_mb;
  return true;
}

bool
place_make_room (struct place *place, struct place_engine *engine,
                 uint64_t need_mb, struct timespec now,
                 struct action_list *out, const char *reason)
{
  struct choice choice = { .engine = engine };

  if (!make_room (place, &choice, need_mb, true, now))
    return false;
  for (unsigned i = 0; i < choice.evictions; i++)
    place_unload (place, choice.evict[i], now, out, reason);
  return true;
}

/* Replicas of TARGET in the availability zone of ENGINE.  */
static unsigned
zone_replicas (const struct place_engine *engine,
               const struct place_target *target)
{
  unsigned count = 0;
  struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      count += g_strcmp0 (copy->engine->zone, engine->zone) == 0;
    }
  return count;
}

/* Estimated seconds until TARGET is loaded on the engine of CHOICE.  */
static double
ready_s (const struct place *place, const struct choice *choice,
         const struct place_target *target, struct timespec now)
{
  const struct place_engine *engine = choice->engine;
  double load_s = place_load_s (place, target->memory_mb);
  double total_s = load_s * (1.0 + engine->loading);
  struct timespec start;

  if (!choice->fits)
    total_s += UNLOAD_ESTIMATE_S;
  if (choice->candidate.on_disk)
    return total_s;
  start = budget_next_at (&place->store_budget, now);
  total_s += ts_to_s (ts_sub (start, now));
  if (place->store_budget.in_flight >= place->store_budget.at_once)
    total_s += place_fetch_s (place, target->memory_mb) / 2.0;
  return total_s + place_fetch_s (place, target->memory_mb);
}

/* Computes the cost of a load of TARGET on the engine of CHOICE.  Returns
   false when it is impossible there.  */
static bool
evaluate_engine (const struct place *place, struct choice *choice,
                 const struct place_target *target, bool may_evict,
                 struct timespec now)
{
  struct place_engine *engine = choice->engine;
  struct place_candidate *candidate = &choice->candidate;
  bool adapter_fits;
  uint64_t need_mb = target->memory_mb + target->kv_reserve_mb;

  if (!may_load_on (engine, target, now) || need_mb > engine->memory_mb)
    return false;
  adapter_fits = need_mb + target->adapter_mb <= engine->memory_mb;
  if (adapter_fits)
    need_mb += target->adapter_mb;
  if (!make_room (place, choice, need_mb, may_evict, now))
    return false;
  candidate->on_disk = place_on_disk (engine, target);
  candidate->ready_s = ready_s (place, choice, target, now);
  if (!adapter_fits)
    candidate->ready_s += ADAPTER_PENALTY_S;
  candidate->loads_in_progress = engine->loading;
  candidate->zone_replicas = zone_replicas (engine, target);
  candidate->load
      = engine->slots > 0
            ? (double)(engine->running + engine->queued) / engine->slots
            : 0.0;
  choice->cost = place->policy->ops->engine_cost (place->policy, candidate,
                                                  place->rand);
  return true;
}

/* Chooses the engine of least cost; *SECOND is the second-least cost.  Ties
   go to the first in the hash table, whose order depends only on the history
   of insertions, so that runs can be reproduced.  */
static bool
choose_engine (struct place *place, const struct place_target *target,
               bool may_evict, struct timespec now, struct choice *best,
               double *second)
{
  GList *engines = g_hash_table_get_values (place->engines);
  bool found = false;

  *second = INFINITY;
  for (GList *i = engines; i != NULL; i = i->next)
    {
      struct choice choice = { .engine = i->data };

      if (!evaluate_engine (place, &choice, target, may_evict, now))
        continue;
      if (found && choice.cost >= best->cost)
        {
          *second = fmin (*second, choice.cost);
          continue;
        }
      if (found)
        *second = fmin (*second, best->cost);
      *best = choice;
      found = true;
    }
  g_list_free (engines);
  return found;
}

static char *
format_reason (const struct place *place, const struct place_target *target,
               const struct choice *choice, double second, const char *cause)
{
  const struct place_candidate *candidate = &choice->candidate;

  return g_strdup_printf (
      "cause=%s waiting=%u source=%s ready_s=%.1f cost=%.2f next_cost=%.2f"
      " evict=%u loss_s=%.2f free_mb=%" G_GUINT64_FORMAT
      " fetching=%u store_slow=%.2f",
      cause, target->waiting_count, candidate->on_disk ? "disk" : "store",
      candidate->ready_s, choice->cost, second, choice->evictions,
      candidate->loss_s, place_engine_free (choice->engine),
      place->store_budget.in_flight, place->store_budget.slow);
}

bool
place_load_on_best_engine (struct place *place, struct place_target *target,
                           bool may_evict, struct timespec now,
                           struct action_list *out, const char *cause)
{
  struct choice best = { 0 };
  double second;
  bool ordered = false;
  char *reason;

  if (!choose_engine (place, target, may_evict, now, &best, &second))
    {
      target->avoid = NULL;
      return false;
    }
  reason = format_reason (place, target, &best, second, cause);
  for (unsigned i = 0; i < best.evictions; i++)
    place_unload (place, best.evict[i], now, out, reason);
  if (best.fits
      && (best.candidate.on_disk || budget_allows (&place->store_budget, now)))
    {
      place_emit_load (place, best.engine, target, now, out, reason);
      best.engine->reserved_mb += target->adapter_mb;
      ordered = true;
    }
  else
    best.engine->reserved_mb
        += target->memory_mb + target->kv_reserve_mb + target->adapter_mb;
  g_free (reason);
  return ordered;
}
