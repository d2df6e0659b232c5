#include "planner_work.h"

#include <math.h>
#include <string.h>
#include "planner_choice.h"
#include "planner_share.h"
#include "planner_value.h"
#include "ts.h"

/* A decider that has just taken over knows no arrivals: with them unknown, 15
   models in use were evicted in its first second.  A model with a request
   every 2 s has been asked for within this time in 9 of 10 cases.  */
#define LEARNING_S 5.0
/* All nodes report their demand several times in this time.  */
#define FETCH_LEARNING_S 1.0
/* From then on a model that is asked for often gets replicas, where nothing in
   use has to give way.  */
#define RELIEF_LEARNING_S 2.0
/* Until then the number of replicas that is found counts as needed: it is the
   best estimate of what is asked for.  */
#define FOUND_S 10.0
/* Shortest time from which a rate is derived.  */
#define RATE_MIN_S 1.0
/* Requests seen from which a model's own figures count, instead of those of
   all models.  */
#define OWN_MIN_COUNT 5.0
/* Adapters that are asked for less often stay where they are.  */
#define ADAPTER_MIN_PER_S 0.05
/* Against rounding errors, where a replica gets all requests.  */
#define SHARE_MIN 1e-3
/* Replicas are added until delays are within this part of the objectives: the
   pace is at times 2.5 times the mean, and requests arrive in bursts.  */
#define NEED_RATIO 0.7
/* What a request counts that is late, but served.  */
#define LATE_S 2.0
/* A replica is surplus if without it they would be within this part.  */
#define KEEP_RATIO 0.5
/* What a request counts that is rejected or ends too late; delays count less
   and less as they come near to it.  */
#define LOST_S 20.0
/* Requests a second from which a model without replicas is in demand although
   none waits: more than one in the time constant of the rates.  */
#define LACKING_MIN_PER_S 0.3
#define BASE_VALUE 0.3 /* of one of several replicas, at least */
#define IDLE_VALUE 0.01
#define SURPLUS_VALUE 0.05
/* See STARTING_S of planner_value.c.  */
#define STARTING_S 1.5
/* Requests within this time count for the order of loads.  */
#define URGENCY_HORIZON_S 60.0
/* Requests that wait for a longer load are mostly gone when it ends, so that
   only a share of them counts.  */
#define PATIENCE_S 8.0
#define LATE_SHARE 0.25

static const struct planner_delay_work no_work;
/* Assumed until any request tells what it is like.  */
static const struct planner_delay_requests unknown_requests
    = { .kinds = { { .count = 1,
                     .tokens = 3870,
                     .answer_tokens = 100,
                     .objective_s = 1,
                     .priority = 1 } },
        .used = 1,
        .count = 1 };

/* Never constant, so that one replica more counts even if several are
   missing.  */
static double
bounded (double delay_s)
{
  return LOST_S * delay_s / (LOST_S + delay_s);
}

/* Seconds for which this decider has counted arrivals.  */
static double
counted_s (const struct plan *plan)
{
  const struct planner *planner = plan->planner;
  struct timespec since = ts_is_zero (planner->first_request_at)
                              ? planner->started_at
                              : planner->first_request_at;

  return ts_to_s (ts_sub (plan->now, since));
}

bool
planner_work_is_learning (const struct plan *plan)
{
  return plan->by_delay && counted_s (plan) < LEARNING_S;
}

bool
planner_work_may_fetch (const struct plan *plan)
{
  return counted_s (plan) >= FETCH_LEARNING_S;
}

/* Rates are decaying sums, which are too low until the decider has counted for
   long.  */
static double
rate_correction (const struct plan *plan, double time_constant_s)
{
  double passed_s = MAX (counted_s (plan), RATE_MIN_S);

  return 1 / (1 - exp (-passed_s / time_constant_s));
}

static void
init_models (const struct plan *plan)
{
  const struct planner *planner = plan->planner;
  double correction = rate_correction (plan, RATES_TIME_CONSTANT_S);
  struct plan_model *model;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, plan->models);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&model))
    {
      const struct planner_delay_requests *own
          = g_hash_table_lookup (planner->requests, name);

      model->requests = &unknown_requests;
      if (own != NULL && own->count >= OWN_MIN_COUNT)
        model->requests = own;
      else if (planner->all_requests.count > 0)
        model->requests = &planner->all_requests;
      /* Priorities differ by model more than lengths do.  */
      model->weight
          = planner_delay_weight (own != NULL ? own : model->requests);
      model->unit = planner_delay_unit (model->requests);
      model->per_s *= correction;
    }
}

/* What the requests for MODEL count for at engines with WORK and PACE: their
   delay, and the part of them that is late.  */
static double
delay_cost (const struct plan_model *model,
            const struct planner_delay_work *work, double pace)
{
  double ratio = planner_delay_ratio (model->requests, work, pace);
  double late = MIN (MAX (ratio - NEED_RATIO, 0), 1);

  return bounded (planner_delay_s (&model->unit, work, pace)) + LATE_S * late;
}

/* Adds what the place contributes to the means of its model.  */
static void
add_to_model (const struct plan_place *place)
{
  struct plan_model *model = place->model;
  struct planner_delay_work other = planner_share_other_work (place);
  double pace = planner_share_pace (place->engine);

  model->pace += place->share * pace;
  model->leads |= model->per_s * place->share * model->unit.read_s
                  >= place->engine->most_read_s;
  model->delay_s += place->share
                    * bounded (planner_delay_s (&model->unit,
                                                &place->engine->work, pace));
  model->cost_s
      += place->share * delay_cost (model, &place->engine->work, pace);
  model->other.read_s += place->share * other.read_s;
  model->other.read_square_s += place->share * other.read_square_s;
  model->other.tokens += place->share * other.tokens;
}

/* What they count for with N replicas at engines like those that MODEL has. */
static double
cost_with (const struct plan_model *model, unsigned n)
{
  struct planner_delay_work work = model->other;

  planner_delay_add_work (&work, &model->unit, model->per_s / n);
  return delay_cost (model, &work, model->pace);
}

bool
planner_work_is_lacking (const struct plan_model *model)
{
  return model->waiting > 0
         || (model->replicas == 0 && model->per_s >= LACKING_MIN_PER_S);
}

double
planner_work_lost_weight (const struct plan_model *model)
{
  double come = model->replicas == 0
                    ? model->weight * model->per_s * PLANNER_HORIZON_S
                    : 0;

  return model->waiting_weight + come;
}

/* The delay that a load of MODEL saves its requests within URGENCY_HORIZON_S,
   weighted by priority: requests that wait now, unless they leave before it
   ends, and those to come.  */
static double
urgency (const struct plan_model *model, double idle_s)
{
  double load_s
      = model->has_local_copy ? model->site->disk_s : model->site->load_s;
  double helped_s = MAX (URGENCY_HORIZON_S - load_s, 0);
  double weight = model->waiting > 0 ? model->waiting_weight / model->waiting
                                     : model->weight;
  double come = weight * model->per_s * helped_s;
  double wait = model->waiting_weight;

  if (load_s >= PATIENCE_S)
    wait *= LATE_SHARE;
  if (model->replicas == 0)
    return planner_work_is_lacking (model) ? LOST_S * (wait + come) : 0;
  wait *= LOST_S;
  if (model->needed > model->replicas)
    wait += come * MAX (model->cost_s - idle_s, 0);
  return wait;
}

static void
init_delays (struct plan *plan, struct plan_model *model)
{
  double idle_s;

  if (model->speed <= 0)
    model->pace = 1;
  idle_s = planner_delay_s (&model->unit, &no_work, model->pace);
  if (model->speed <= 0)
    model->delay_s = idle_s;
  if (model->replicas > 0)
    model->needed = planner_delay_replicas (
        model->requests, model->per_s, &model->other, model->pace, NEED_RATIO);
  /* Only fewer requests for other models would help, unless its own are too
     many even without these.  */
  if (model->needed == PLANNER_DELAY_REPLICAS_MAX && !model->leads)
    model->needed
        = MAX (model->replicas,
               planner_delay_replicas (model->requests, model->per_s, &no_work,
                                       model->pace, NEED_RATIO));
  model->urgency = urgency (model, idle_s);
  if (model->replicas > 0 && model->needed > model->replicas)
    {
      plan->lacks_replicas = true;
      plan->planner->short_models++;
    }
}

static void
init_engines (const struct plan *plan)
{
  struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    engine->delay_s = bounded (planner_delay_s (&no_work, &engine->work,
                                                planner_share_pace (engine)));
}

static bool
tells_pace (const struct planner *planner)
{
  const struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->pace > 0)
      return true;
  return false;
}

void
planner_work_init (struct plan *plan)
{
  struct plan_model *model;
  GHashTableIter iter;

  plan->planner->short_models = 0;
  plan->by_delay = tells_pace (plan->planner);
  if (!plan->by_delay)
    return;
  if (!plan->planner->by_delay)
    budget_assume_single (&plan->planner->budget);
  plan->planner->by_delay = true;
  init_models (plan);
  planner_share_requests (plan);
  plan->is_empty = plan->places->len == 0;
  init_engines (plan);
  for (guint i = 0; i < plan->places->len; i++)
    add_to_model (&g_array_index (plan->places, struct plan_place, i));
  g_hash_table_iter_init (&iter, plan->models);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&model))
    init_delays (plan, model);
}

unsigned
planner_work_needed (const struct plan *plan, const struct plan_model *model)
{
  if (plan->by_delay && counted_s (plan) < RELIEF_LEARNING_S)
    return MIN (model->needed, model->replicas);
  return MIN (model->needed, model->replicas + 1);
}

unsigned
planner_work_needed_adapters (const struct plan_model *model, double per_s)
{
  struct planner_delay_work other = model->other;
  double rest = MAX (model->per_s - per_s, 0);
  unsigned needed;

  if (model->loaded <= 1)
    return model->loaded;
  planner_delay_add_work (&other, &model->unit, rest / model->loaded);
  needed = planner_delay_replicas (model->requests, per_s, &other, model->pace,
                                   NEED_RATIO);
  /* Requests for an adapter move to a further replica of the model only with
     the adapter.  */
  if (model->needed > 1 && per_s >= ADAPTER_MIN_PER_S)
    needed = MAX (needed, model->needed);
  return MIN (needed, model->loaded);
}

/* Whether the replica, the only one of MODEL, may just have got a request.  */
static bool
is_starting (const struct plan *plan, const struct plan_model *model)
{
  return rates_idle_s (plan->planner->dispatched, model->site->name, plan->now)
         < STARTING_S;
}

/* What the engines of the other replicas of the model of PLACE do for other
   models, and their pace, in the mean.  */
static struct planner_delay_work
other_places (const struct plan_place *place, double *pace)
{
  const struct plan_model *model = place->model;
  struct planner_delay_work own = planner_share_other_work (place);
  struct planner_delay_work rest = model->other;
  double scale = 1 / MAX (1 - place->share, SHARE_MIN);

  planner_delay_add_work (&rest, &own, -place->share);
  rest.read_s = MAX (rest.read_s * scale, 0);
  rest.read_square_s = MAX (rest.read_square_s * scale, 0);
  rest.tokens = MAX (rest.tokens * scale, 0);
  *pace = (model->pace - place->share * planner_share_pace (place->engine))
          * scale;
  *pace = MAX (*pace, PACE_MIN);
  return rest;
}

/* The value of one of several replicas.  */
static double
replica_value (const struct plan *plan, const struct plan_place *place)
{
  const struct plan_model *model = place->model;
  double pace;
  struct planner_delay_work work = other_places (place, &pace);
  double more_s;

  planner_delay_add_work (&work, &model->unit,
                          model->per_s / (model->loaded - 1));
  if (counted_s (plan) >= FOUND_S
      && (model->per_s < PLANNER_DELAY_MIN_PER_S
          || planner_delay_ratio (model->requests, &work, pace) <= KEEP_RATIO))
    return SURPLUS_VALUE * (1 + model->per_s);
  more_s = delay_cost (model, &work, pace) - model->delay_s;
  return BASE_VALUE
         + PLANNER_HORIZON_S * model->weight * model->per_s * MAX (more_s, 0);
}

/* The value of the only replica, on ENGINE.  */
static double
sole_value (const struct plan *plan, const struct plan_model *model,
            const struct planner_engine *engine)
{
  bool fetches;
  double reload_s = planner_load_s (engine, model->site, &fetches);
  double long_per_s = rates_per_s (plan->planner->arrivals_long,
                                   model->site->name, plan->now)
                      * rate_correction (plan, PLANNER_WORK_LONG_S);
  double per_s = MAX (model->per_s, long_per_s);

  return IDLE_VALUE
         + model->weight * per_s * PLANNER_HORIZON_S
               * (reload_s + PLANNER_MAKE_ROOM_S);
}

static struct plan_place *
find_place (const struct plan *plan, const struct planner_engine *engine,
            const struct plan_model *model)
{
  for (unsigned i = 0; i < engine->place_count; i++)
    {
      struct plan_place *place = &g_array_index (
          plan->places, struct plan_place, engine->first_place + i);

      if (place->model == model)
        return place;
    }
  return NULL;
}

/* Whether MODEL may have been asked for without this decider knowing.  That is
   not so if it decided for some time before the first request arrived.  */
static bool
may_be_in_use (const struct plan *plan, const struct plan_model *model)
{
  const struct planner *planner = plan->planner;
  double quiet_s
      = ts_to_s (ts_sub (planner->first_request_at, planner->started_at));

  if (!planner_work_is_learning (plan))
    return false;
  return counted_s (plan) < RELIEF_LEARNING_S || quiet_s < LEARNING_S
         || model->loaded > 1
         || isfinite (
             rates_idle_s (planner->arrivals, model->site->name, plan->now));
}

double
planner_work_value (const struct plan *plan,
                    const struct planner_engine *engine,
                    const struct plan_model *model)
{
  struct plan_place *place = find_place (plan, engine, model);

  if (place == NULL || model->loaded == 0)
    return IDLE_VALUE;
  if (place->valued_at == model->loaded)
    return place->value;
  place->valued_at = model->loaded;
  if (may_be_in_use (plan, model) || model->waiting > 0
      || (model->loaded <= 1 && is_starting (plan, model)))
    place->value = PLANNER_PINNED_VALUE;
  else if (model->loaded > 1)
    place->value = replica_value (plan, place);
  else
    place->value = sole_value (plan, model, engine);
  return place->value;
}

double
planner_work_benefit (const struct plan_model *model)
{
  unsigned n = MAX (model->replicas, 1);

  /* Those that move to the new replica count in planner_work_place_cost.  */
  return PLANNER_HORIZON_S * model->weight * model->per_s * n / (n + 1)
         * (cost_with (model, n) - cost_with (model, n + 1));
}

double
planner_work_place_cost (const struct planner_engine *engine,
                         const struct plan_model *model)
{
  double pace = planner_share_pace (engine);
  double share = engine->speed_left / (model->speed + engine->speed_left);
  double moved_per_s = model->per_s * share;
  struct planner_delay_work work = engine->work;
  double moved_s;
  double others_s;

  planner_delay_add_work (&work, &model->unit, moved_per_s);
  moved_s = bounded (planner_delay_s (&model->unit, &work, pace));
  others_s
      = bounded (planner_delay_s (&no_work, &work, pace)) - engine->delay_s;
  return PLANNER_HORIZON_S
         * (model->weight * moved_per_s * (moved_s - model->delay_s)
            + engine->weighted_per_s * others_s);
}

double
planner_work_most_saved (const struct plan_model *model)
{
  return PLANNER_HORIZON_S * model->weight * model->per_s * model->delay_s;
}

char *
planner_work_reason (const struct planner_engine *engine,
                     const struct plan_model *model)
{
  double pace = planner_share_pace (engine);

  return g_strdup_printf (
      " delay_s=%.3f needed=%u urgency=%.1f pace=%.2f busy=%.2f",
      model->delay_s, model->needed, model->urgency, pace,
      planner_delay_utilization (&engine->work, pace));
}
