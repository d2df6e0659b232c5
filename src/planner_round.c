#include "planner_round.h"

#include <math.h>
#include <string.h>
#include "planner_choice.h"
#include "planner_count.h"
#include "planner_value.h"
#include "planner_work.h"
#include "ts.h"

#define PRIOR_RATE_PER_S 0.03 /* rate assumed for a model never requested */
#define PRELOAD_MAX_TRIES 16  /* per round: each examines every engine */
/* The same if planned by delay.  The most urgent models are tried in each
   round, the others in turn.  */
#define PRELOAD_MAX_TRIES_BY_DELAY 1
#define RELIEF_URGENT 1
#define RELIEF_MAX_TRIES 2
#define RELIEF_TURNS 8
#define RESERVED_SHARE 0.5 /* see reserved_urgency */
#define IDLE_VALUE 0.01    /* of a loaded model without requests */
/* Delay that a request saves which waits for a model on no engine: it is
   rejected otherwise.  So no model with many requests is evicted for a few
   that wait.  */
#define WAITING_VALUE 20.0
/* A load that no request waits for evicts only surplus replicas: while the
   engine makes room and loads, the place serves no model.  */
#define PRELOAD_LOSS_MAX 0.3
/* Planned by delay: a replica more has to save this much delay for each second
   of its load.  */
#define LOAD_COST 0.3
/* Requests wait this long for an engine with a copy of the weights before
   these are fetched for another one: until recent requests there have ended.
 */
#define COPY_WAIT_S 1.5

static void
issue_load (struct plan *plan, struct planner_engine *engine, const char *name,
            const char *cause)
{
  const struct plan_model *model = plan_model (plan, name);
  bool fetches;
  double load_s = planner_load_s (engine, model->site, &fetches);
  char *delays
      = plan->by_delay ? planner_work_reason (engine, model) : g_strdup ("");
  char *reason = g_strdup_printf (
      "cause=%s waiting=%u per_s=%.2f replicas=%u load_s=%.2f source=%s%s",
      cause, model->waiting, model->per_s, model->replicas, load_s,
      /* "hand": a copy in the engine's memory or on its disk */
      fetches ? "store" : "hand", delays);

  g_free (delays);

  planner_issue_order (plan->planner, engine, BACKEND_LOAD, name, NULL, reason,
                       plan->now, plan->out);
}

static void
issue_unload (struct plan *plan, struct planner_engine *engine,
              const char *victim, double value)
{
  struct plan_model *model = plan_model (plan, victim);
  char *delays = plan->by_delay && model != NULL
                     ? planner_work_reason (engine, model)
                     : g_strdup ("");
  char *reason = g_strdup_printf ("cause=room for=%s value=%.2f%s",
                                  engine->next_model, value, delays);

  g_free (delays);
  if (model != NULL)
    {
      model->replicas--;
      model->loaded--;
      model->values_known = false;
    }
  planner_issue_order (plan->planner, engine, BACKEND_UNLOAD, victim, NULL,
                       reason, plan->now, plan->out);
}

/* Whether the budget allows a fetch from the weight store with SPARE further
   ones left.  */
static bool
budget_allows_fetch (const struct plan *plan, unsigned spare)
{
  struct budget *budget = &plan->planner->budget;

  return budget_allows (budget, plan->now)
         && budget->in_flight + plan->previous_fetches + spare
                < budget_max_in_flight (budget);
}

/* Whether MODEL, for which ENGINE has made room, got a replica from another
   engine in the meantime.  */
static bool
is_served_elsewhere (const struct planner_engine *engine,
                     const struct plan_model *model)
{
  return model->replicas > engine->next_replicas && model->waiting == 0;
}

/* Loads next_model on ENGINE, or evicts a model to make room for it.  */
static void
continue_loading (struct plan *plan, struct planner_engine *engine)
{
  const struct plan_model *model = plan_model (plan, engine->next_model);
  const char *victim;
  double value;
  bool fetches;

  if (!planner_can_order (engine, plan->now))
    return;
  if (model == NULL
      || inventory_model (engine->inventory, engine->next_model) != NULL)
    {
      g_clear_pointer (&engine->next_model, g_free);
      return;
    }
  planner_load_s (engine, model->site, &fetches);
  if (planner_free_mb (plan->planner, engine)
      >= (int64_t)model->site->memory_mb)
    {
      if (plan->by_delay && is_served_elsewhere (engine, model))
        {
          g_clear_pointer (&engine->next_model, g_free);
          return;
        }
      if (fetches && !budget_allows_fetch (plan, 0))
        return;
      issue_load (plan, engine, engine->next_model, "goal");
      g_clear_pointer (&engine->next_model, g_free);
      return;
    }
  victim = planner_choose_victim (plan, engine, NULL, &value);
  if (victim == NULL)
    g_clear_pointer (&engine->next_model, g_free);
  else
    issue_unload (plan, engine, victim, value);
}

/* Starts to load MODEL on the engine of CANDIDATE.  */
static void
start_loading (struct plan *plan, struct plan_model *model,
               const struct planner_candidate *candidate)
{
  candidate->engine->next_model = g_strdup (model->site->name);
  candidate->engine->next_replicas = model->replicas;
  model->pending = true;
  continue_loading (plan, candidate->engine);
}

/* The engine to load MODEL: one with a copy of its weights, unless that takes
   longer than to fetch them, or requests have waited for it.  */
static struct planner_candidate
choose_engine (const struct plan *plan, const struct plan_model *model,
               const char *software, double benefit, bool fetch)
{
  struct planner_candidate candidate = { .engine = NULL };
  bool patient = model->has_local_copy && model->waiting > 0
                 && model->waited_s <= COPY_WAIT_S;
  bool slow;

  if (model->has_local_copy)
    candidate = planner_choose_engine (plan, model->site, software, false);
  slow = candidate.engine == NULL || candidate.loss >= benefit
         || candidate.busy_s + candidate.load_s >= model->site->load_s;
  if (fetch && slow && !patient && budget_allows_fetch (plan, 0))
    candidate = planner_choose_engine (plan, model->site, software, true);
  return candidate;
}

/* Starts to load MODEL if an idle engine is the best choice and the loss there
   is less than BENEFIT.  SOFTWARE and FETCH as for planner_choose_engine.  */
static bool
try_load (struct plan *plan, struct plan_model *model, const char *software,
          double benefit, bool fetch)
{
  struct planner_candidate candidate
      = choose_engine (plan, model, software, benefit, fetch);

  if (candidate.engine == NULL || candidate.loss >= benefit
      || candidate.busy_s > 0)
    return false;
  start_loading (plan, model, &candidate);
  return true;
}

/* Models with waiting requests first, by priority, then by number of waiting
   requests, then by request rate.  */
static gint
compare_urgency (gconstpointer a, gconstpointer b)
{
  const struct plan_model *x = *(const struct plan_model *const *)a;
  const struct plan_model *y = *(const struct plan_model *const *)b;

  if ((x->waiting > 0) != (y->waiting > 0))
    return x->waiting > 0 ? -1 : 1;
  if (x->waiting > 0 && x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->waiting != y->waiting)
    return x->waiting > y->waiting ? -1 : 1;
  if (x->per_s != y->per_s)
    return x->per_s > y->per_s ? -1 : 1;
  return strcmp (x->site->name, y->site->name);
}

/* Planned by delay: by the delay that a load saves, weighted by priority.  */
static gint
compare_by_delay (gconstpointer a, gconstpointer b)
{
  const struct plan_model *x = *(const struct plan_model *const *)a;
  const struct plan_model *y = *(const struct plan_model *const *)b;

  if (x->urgency != y->urgency)
    return x->urgency > y->urgency ? -1 : 1;
  return compare_urgency (a, b);
}

static GPtrArray *
sorted_models (const struct plan *plan)
{
  GPtrArray *models = g_ptr_array_new ();
  struct plan_model *model;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->models);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&model))
    g_ptr_array_add (models, model);
  g_ptr_array_sort (models,
                    plan->by_delay ? compare_by_delay : compare_urgency);
  return models;
}

/* Loads models that requests wait for, because no engine has them or those
   that do take too few requests.  */
static void
load_waiting_models (struct plan *plan, const GPtrArray *models)
{
  for (guint i = 0; i < models->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (models, i);

      if (model->waiting > 0 && model->unlimited == 0 && !model->pending)
        try_load (plan, model, NULL, WAITING_VALUE * model->waiting, true);
    }
}

/* Loads one more replica of MODEL, whose requests are delayed too much, if
   that saves more delay than it costs.  */
static void
relieve (struct plan *plan, struct plan_model *model, bool fetch)
{
  double benefit = planner_work_benefit (model);
  struct planner_candidate candidate
      = choose_engine (plan, model, NULL, benefit, fetch);

  if (candidate.engine == NULL || candidate.busy_s > 0
      || candidate.loss + LOAD_COST * candidate.load_s >= benefit)
    return;
  start_loading (plan, model, &candidate);
}

/* Whether the model of this rank, by urgency, of those that lack replicas is
   tried in this round.  */
static bool
is_in_turn (const struct plan *plan, unsigned rank)
{
  return rank < RELIEF_URGENT
         || (rank + plan->planner->rounds) % RELIEF_TURNS == 0;
}

/* The least urgency for which a model may use the weight store.  A model that
   an engine makes room for, or that is being loaded and lacks further
   replicas, will need it next: a load for another one would keep it waiting
   for long.
 */
static double
reserved_urgency (const GPtrArray *models)
{
  double most = 0;

  for (guint i = 0; i < models->len; i++)
    {
      const struct plan_model *model = g_ptr_array_index (models, i);

      if ((model->pending && model->replicas == 0)
          || (model->needed > model->replicas
              && (model->pending || model->replicas > model->loaded)))
        most = MAX (most, model->urgency);
    }
  return RESERVED_SHARE * most;
}

/* The same as load_waiting_models and add_replicas, in one order: planned by
   delay, requests that wait at an engine compete with those that wait for one
   for the weight store and for engines.  What requests wait for most is not
   known while the decider learns the rates, and a fetch would then keep the
   store from it.  */
static void
load_by_urgency (struct plan *plan, const GPtrArray *models)
{
  bool fetch = planner_work_may_fetch (plan) || plan->is_empty;
  double reserved = reserved_urgency (models);
  unsigned rank = 0;
  unsigned tries = 0;

  for (guint i = 0; i < models->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (models, i);

      if (model->pending)
        continue;
      if (model->unlimited == 0 && planner_work_is_lacking (model))
        try_load (plan, model, NULL,
                  WAITING_VALUE * planner_work_lost_weight (model),
                  fetch && model->urgency >= reserved);
      else if (!plan->partial && model->replicas > 0
               && model->replicas < planner_needed_replicas (plan, model)
               && is_in_turn (plan, rank++) && tries++ < RELIEF_MAX_TRIES)
        relieve (plan, model, model->urgency >= reserved);
      if (model->pending)
        reserved = MAX (reserved, RESERVED_SHARE * model->urgency);
    }
}

/* Requests wait for MODEL although engines with SOFTWARE, NULL: any version,
   have it loaded.  Such an engine may be down, which a report request shows
   sooner than the platform's list.  */
static void
probe_holders (struct plan *plan, const struct plan_model *model,
               const char *software)
{
  struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->has_report && plan_has_software (engine, software)
        && inventory_model (engine->inventory, model->site->name))
      planner_probe_engine (engine, plan->now, plan->out);
}

static void
probe_waiting_models (struct plan *plan, const GPtrArray *models)
{
  for (guint i = 0; i < models->len; i++)
    {
      const struct plan_model *model = g_ptr_array_index (models, i);

      if (model->waiting > 0 && model->loaded > 0)
        probe_holders (plan, model, NULL);
    }
}

/* Whether an engine with SOFTWARE has MODEL or is about to load it.  */
static bool
has_replica (const struct plan *plan, const struct plan_model *model,
             const char *software)
{
  const char *name = model->site->name;
  const struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      const struct planner_order *order = &engine->order;
      bool ordered
          = order->stage != STAGE_NONE && strcmp (order->model, name) == 0;

      if (engine->leaving || !plan_has_software (engine, software))
        continue;
      if (g_strcmp0 (engine->next_model, name) == 0
          || (ordered && order->type == BACKEND_LOAD)
          || (inventory_model (engine->inventory, name) != NULL
              && !(ordered && order->type == BACKEND_UNLOAD)))
        return true;
    }
  return false;
}

/* Loads models for requests that resume a stream, which other replicas may not
   serve.  */
static void
load_resuming_models (struct plan *plan)
{
  const struct planner_waiting *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->waiting);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      struct plan_model *model = planner_count_model (plan, entry);

      if (model == NULL || entry->software == NULL)
        continue;
      if (has_replica (plan, model, entry->software))
        probe_holders (plan, model, entry->software);
      else
        try_load (plan, model, entry->software, WAITING_VALUE * entry->waiting,
                  true);
    }
}

static double
load_per_replica (const struct plan_model *model)
{
  return model->per_s / MAX (model->replicas, 1);
}

static gint
compare_load (gconstpointer a, gconstpointer b)
{
  const struct plan_model *x = *(const struct plan_model *const *)a;
  const struct plan_model *y = *(const struct plan_model *const *)b;
  double x_load = load_per_replica (x);
  double y_load = load_per_replica (y);

  if (x_load != y_load)
    return x_load > y_load ? -1 : 1;
  return strcmp (x->site->name, y->site->name);
}

/* Loads more replicas of models whose request rates need them, those with the
   busiest replicas first: the weight store serves few of these loads at a
   time.  */
static void
add_replicas (struct plan *plan, const GPtrArray *models)
{
  GPtrArray *short_of = g_ptr_array_new ();

  for (guint i = 0; i < models->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (models, i);

      if (!model->pending && model->replicas > 0
          && model->replicas < planner_needed_replicas (plan, model))
        g_ptr_array_add (short_of, model);
    }
  g_ptr_array_sort (short_of, compare_load);
  for (guint i = 0; i < short_of->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (short_of, i);

      try_load (plan, model, NULL,
                model->per_s * plan->planner->request_s * PLANNER_HORIZON_S,
                true);
    }
  g_ptr_array_unref (short_of);
}

/* Whether a fetch may start that no request waits for.  While the request
   rates are unknown, so is which models will be in demand, and how many
   fetches the store serves at full speed: one that was slowed down would keep
   it from the models in demand for long.  */
static bool
may_preload (const struct plan *plan)
{
  const struct budget *budget = &plan->planner->budget;

  if (plan->lacks_replicas || !budget_allows_fetch (plan, 1))
    return false;
  if (!planner_rates_unknown (plan))
    return true;
  return !plan->by_delay && budget->in_flight + plan->previous_fetches == 0;
}

/* Loads models that are on no engine ahead of requests, where there is room or
   a surplus replica.  The benefit follows
   the request rate; for a model without a local copy of its weights, whose
   first requests would wait longest, at least PRIOR_RATE_PER_S is assumed.
   One fetch is left for waiting requests.  Each round continues where the
   previous one ended, and starts over with the highest rate after a
   success.  */
static void
preload (struct plan *plan, const GPtrArray *models)
{
  bool fetch = may_preload (plan);
  unsigned max_tries
      = plan->by_delay ? PRELOAD_MAX_TRIES_BY_DELAY : PRELOAD_MAX_TRIES;
  unsigned tries = 0;
  guint next = 0;

  for (guint i = 0; i < models->len && tries < max_tries; i++)
    {
      guint at = (i + plan->planner->preload_offset) % models->len;
      struct plan_model *model = g_ptr_array_index (models, at);
      double value = IDLE_VALUE
                     + model->per_s * PLANNER_HORIZON_S * model->site->disk_s;

      if (!model->has_local_copy)
        value = MAX (model->per_s, PRIOR_RATE_PER_S) * PLANNER_HORIZON_S
                * model->site->load_s;
      if (model->replicas > 0 || model->pending)
        continue;
      tries++;
      next = at + 1;
      if (!try_load (plan, model, NULL, MIN (value, PRELOAD_LOSS_MAX),
                     fetch && !model->has_local_copy))
        continue;
      fetch = fetch && may_preload (plan);
      next = 0;
    }
  plan->planner->preload_offset = next;
}

/* Estimates the ready time of models that requests wait for and no engine is
   loading.  The weight store serves a limited number of fetches at a time, the
   most urgent models first.  */
static void
estimate_ready_times (struct plan *plan, const GPtrArray *models)
{
  const struct budget *budget = &plan->planner->budget;
  unsigned ahead = budget->in_flight + plan->previous_fetches;

  g_hash_table_remove_all (plan->planner->expected_ready);
  for (guint i = 0; i < models->len; i++)
    {
      const struct plan_model *model = g_ptr_array_index (models, i);
      const struct site_model *site = model->site;
      double ready_s = PLANNER_MAKE_ROOM_S + site->disk_s;
      struct timespec *at;

      if (model->waiting == 0 || model->replicas > 0)
        continue;
      if (!model->has_local_copy)
        {
          ready_s = site->load_s
                    + site->load_s * ahead / budget_max_in_flight (budget);
          ahead++;
        }
      at = g_new (struct timespec, 1);
      *at = ts_add (plan->now, ts_from_s (ready_s));
      g_hash_table_insert (plan->planner->expected_ready,
                           g_strdup (site->name), at);
    }
}

/* Rounds follow on changes, up to many in PLANNER_TICK_MS.  Planned by delay,
   only one in that time looks beyond requests that wait: the rates that the
   rest follows from change slowly.  */
static void
begin_round (struct plan *plan)
{
  struct planner *planner = plan->planner;

  plan->partial
      = plan->by_delay
        && ts_before (plan->now, ts_add_ms (planner->full_round_at,
                                            PLANNER_TICK_MS * 9 / 10));
  if (plan->partial)
    return;
  planner->rounds++;
  planner->full_round_at = plan->now;
}

void
planner_run_round (struct planner *planner, struct timespec now,
                   struct action_list *out)
{
  struct plan plan = { .planner = planner, .now = now, .out = out };
  struct planner_engine *engine;
  GHashTableIter iter;
  GPtrArray *models;

  planner_count (&plan);
  planner_work_init (&plan);
  begin_round (&plan);
  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->next_model != NULL)
      continue_loading (&plan, engine);
  planner_load_waiting_adapters (&plan);
  models = sorted_models (&plan);
  probe_waiting_models (&plan, models);
  if (plan.by_delay)
    load_by_urgency (&plan, models);
  else
    load_waiting_models (&plan, models);
  load_resuming_models (&plan);
  if (!plan.by_delay)
    add_replicas (&plan, models);
  if (!plan.partial)
    {
      planner_replicate_adapters (&plan);
      preload (&plan, models);
    }
  estimate_ready_times (&plan, models);
  g_ptr_array_unref (models);
  g_hash_table_unref (plan.models);
  g_free (plan.model_array);
  if (plan.places != NULL)
    g_array_unref (plan.places);
}
