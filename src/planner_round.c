#include <math.h>
#include <string.h>
#include "planner_round.h"
#include "ts.h"

#define HORIZON_S 10.0   /* of calls that a reload would hold up */
#define PRIOR_PER_S 0.03 /* calls of a model never called, for its value */
/* Of any model loaded, whatever its calls: a reload is an order and may hold
   others up.  */
#define HELD_VALUE 0.3
#define PRELOAD_TRIES 16   /* models a round: each looks at every engine */
#define FREE_VALUE 0.01    /* of a model in memory that nobody needs */
#define SURPLUS_VALUE 0.05 /* of a replica more than are needed */
#define START_REPLICAS 3   /* kept of a model before its calls are known */
#define LEARN_S 10.0       /* from the first call until calls are known */
/* An engine that makes room for another model is not free for so long; one
   that ends a single order takes the next soon after.  */
#define GOAL_S 1.5
#define SETTLE_S 0.3
/* Of a call a second whose adapter may have to wait for a load, a second.  */
#define HELD_UP_VALUE 0.3
/* A call that came within this time may not have begun to run, and would be
   turned away by an unload; an unload waits for those that run.  */
#define RUNNING_S 1.5
#define RUNNING_VALUE 3.0
#define WANTED_VALUE 1e6 /* never evicted */

/* One way to get a model onto an engine.  */
struct plan_place
{
  struct planner_engine *engine;
  double busy_s; /* until the engine takes an order */
  double load_s;
  double loss; /* value of what has to go */
  bool fetches;
};

static void
count_engine (struct plan *plan, const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  struct plan_model *model;

  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->held->models, i);

      model = plan_model (plan, held->name);
      if (model == NULL || engine->leaving)
        continue;
      if (order->stage != STAGE_NONE && order->type == BACKEND_UNLOAD
          && strcmp (order->model, held->name) == 0)
        continue;
      model->replicas++;
      model->loaded++;
    }
  if (engine->leaving)
    return;
  if (order->stage != STAGE_NONE && order->type == BACKEND_LOAD
      && inventory_model (engine->held, order->model) == NULL)
    {
      model = plan_model (plan, order->model);
      if (model != NULL)
        model->replicas++;
    }
  if (engine->goal != NULL)
    {
      model = plan_model (plan, engine->goal);
      if (model != NULL)
        model->planned = true;
    }
}

static void
mark_at_hand (struct plan *plan, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    {
      struct plan_model *model
          = plan_model (plan, g_ptr_array_index (names, i));

      if (model != NULL)
        model->at_hand = true;
    }
}

static void
count_want (struct plan *plan, const struct planner_waiting *want)
{
  char *name = g_strndup (want->target, strcspn (want->target, "/"));
  struct plan_model *model = plan_model (plan, name);

  g_free (name);
  if (model == NULL)
    return;
  if (model->waiting == 0 || want->priority < model->priority)
    model->priority = want->priority;
  model->waiting += want->waiting;
}

static void
plan_begin (struct plan *plan)
{
  struct planner *planner = plan->planner;
  const struct planner_engine *engine;
  const struct planner_waiting *want;
  GHashTableIter iter;

  plan->foreign = planner_previous_fetches (planner);
  plan->models = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (size_t i = 0; i < planner->service->model_count; i++)
    {
      struct plan_model *model = g_new0 (struct plan_model, 1);

      model->site = &planner->service->models[i];
      model->per_s
          = rates_per_s (planner->demand, model->site->name, plan->now);
      g_hash_table_insert (plan->models, model->site->name, model);
    }
  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      count_engine (plan, engine);
      mark_at_hand (plan, engine->held->in_memory);
      mark_at_hand (plan, engine->held->on_disk);
    }
  g_hash_table_iter_init (&iter, planner->wants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&want))
    count_want (plan, want);
}

/* Whether calls are not known yet.  */
static bool
learning (const struct plan *plan)
{
  const struct planner *planner = plan->planner;

  return ts_is_zero (planner->called_at)
         || ts_to_s (ts_sub (plan->now, planner->called_at)) < LEARN_S;
}

/* Replicas that the calls of MODEL need.  */
static unsigned
needed (const struct plan *plan, const struct plan_model *model)
{
  unsigned n = (unsigned)ceil (model->per_s * PLANNER_REQUEST_S
                               / PLANNER_MAX_UTILIZATION);

  if (learning (plan))
    n = MAX (n, MIN (model->loaded, START_REPLICAS));
  return n;
}

static double
value_with (const struct plan *plan, const struct plan_model *model,
            double reload_s)
{
  double calls_value = model->per_s * HORIZON_S * reload_s;

  if (model->waiting > 0
      || rates_idle_s (plan->planner->sent, model->site->name, plan->now)
             < RUNNING_S)
    return WANTED_VALUE;
  if (model->loaded > 1 && model->loaded > needed (plan, model))
    return SURPLUS_VALUE * (1.0 + model->per_s);
  if (rates_idle_s (plan->planner->demand, model->site->name, plan->now)
      < RUNNING_S)
    return RUNNING_VALUE + calls_value;
  return HELD_VALUE + calls_value;
}

/* What is lost when the model NAME leaves ENGINE.  */
static double
value_of (const struct plan *plan, const struct planner_engine *engine,
          const char *name)
{
  struct plan_model *model = plan_model (plan, name);

  if (model == NULL)
    return 0;
  if (!model->valued)
    {
      model->value_memory = value_with (plan, model, model->site->memory_s);
      model->value_disk = value_with (plan, model, model->site->disk_s);
      model->valued = true;
    }
  return inventory_name_listed (engine->held->in_memory, name)
             ? model->value_memory
             : model->value_disk;
}

/* The least valuable model that ENGINE holds; NULL when there is none that
   may go.  */
static const char *
victim_of (const struct plan *plan, const struct planner_engine *engine,
           const GPtrArray *gone, double *value)
{
  const char *victim = NULL;

  *value = WANTED_VALUE;
  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->held->models, i);
      double v = value_of (plan, engine, held->name);

      if (v >= *value
          || (gone != NULL && inventory_name_listed (gone, held->name)))
        continue;
      *value = v;
      victim = held->name;
    }
  return victim;
}

/* The value that ENGINE loses for MODEL; WANTED_VALUE when no room can be
   made.  */
static double
loss_of (const struct plan *plan, const struct planner_engine *engine,
         const struct site_model *model)
{
  int64_t left = planner_free_mb (plan->planner, engine);
  GPtrArray *gone;
  double loss = 0;

  if (left >= (int64_t)model->memory_mb)
    return 0;
  gone = g_ptr_array_new ();
  while (left < (int64_t)model->memory_mb)
    {
      double value;
      const char *victim = victim_of (plan, engine, gone, &value);
      const struct plan_model *known;

      if (victim == NULL)
        {
          loss = WANTED_VALUE;
          break;
        }
      known = plan_model (plan, victim);
      left += known != NULL ? (int64_t)known->site->memory_mb
                            : (int64_t)plan->planner->service->memory_mb;
      loss += value;
      g_ptr_array_add (gone, (gpointer)victim);
    }
  g_ptr_array_unref (gone);
  return loss;
}

/* Seconds until ENGINE takes an order for another model.  */
static double
busy_s (const struct plan *plan, const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  double left_s = 0;

  if (planner_can_order (engine, plan->now) && engine->goal == NULL)
    return 0;
  if (order->stage == STAGE_RUNNING)
    left_s = ts_to_s (ts_sub (order->ready_at, plan->now));
  return MAX (left_s, 0) + (engine->goal != NULL ? GOAL_S : SETTLE_S);
}

/* Calls a second of models on ENGINE that have adapters: none of these can be
   exchanged while the engine loads a model.  */
static double
adapter_calls (const struct plan *plan, const struct planner_engine *engine)
{
  double per_s = 0;

  for (guint i = 0; i < engine->held->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->held->models, i);
      const struct plan_model *model = plan_model (plan, held->name);

      if (model != NULL && model->site->adapters > 0)
        per_s += model->per_s / MAX (model->loaded, 1);
    }
  return per_s;
}

/* The engine on which MODEL is had soonest for the least loss, also one that
   has to end something else first.  FETCH: also from the weight store.  */
static struct plan_place
best_place (const struct plan *plan, const struct site_model *model,
            bool fetch)
{
  struct plan_place best = { .loss = WANTED_VALUE };
  struct planner_engine *engine;
  GHashTableIter iter;
  double least = WANTED_VALUE;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      struct plan_place place = { .engine = engine };

      if (!engine->known || engine->leaving
          || inventory_model (engine->held, model->name) != NULL)
        continue;
      place.busy_s = busy_s (plan, engine);
      place.load_s = planner_load_s (engine, model, &place.fetches);
      if (place.fetches && !fetch)
        continue;
      place.loss
          = loss_of (plan, engine, model)
            + HELD_UP_VALUE * place.load_s * adapter_calls (plan, engine);
      if (place.busy_s + place.load_s + place.loss >= least)
        continue;
      least = place.busy_s + place.load_s + place.loss;
      best = place;
    }
  return best;
}

static void
load (struct plan *plan, struct planner_engine *engine, const char *name,
      const char *cause)
{
  const struct plan_model *model = plan_model (plan, name);
  bool fetches;
  double load_s = planner_load_s (engine, model->site, &fetches);
  char *reason = g_strdup_printf (
      "cause=%s waiting=%u per_s=%.2f replicas=%u load_s=%.2f source=%s",
      cause, model->waiting, model->per_s, model->replicas, load_s,
      fetches ? "store" : "hand");

  planner_issue_order (plan->planner, engine, BACKEND_LOAD, name, NULL, reason,
                       plan->now, plan->out);
}

static void
evict (struct plan *plan, struct planner_engine *engine, const char *victim,
       double value)
{
  struct plan_model *model = plan_model (plan, victim);

  if (model != NULL)
    {
      model->replicas--;
      model->loaded--;
      model->valued = false;
    }
  planner_issue_order (
      plan->planner, engine, BACKEND_UNLOAD, victim, NULL,
      g_strdup_printf ("cause=room for=%s value=%.2f", engine->goal, value),
      plan->now, plan->out);
}

/* Whether the weight store may serve one more, and SPARE beside it.  */
static bool
may_fetch (const struct plan *plan, unsigned spare)
{
  struct budget *budget = &plan->planner->budget;

  return budget_allows (budget, plan->now)
         && budget->in_flight + plan->foreign + spare
                < budget_max_in_flight (budget);
}

/* Goes on making room for the goal of ENGINE, or loads it.  */
static void
pursue (struct plan *plan, struct planner_engine *engine)
{
  const struct plan_model *model = plan_model (plan, engine->goal);
  const char *victim;
  double value;
  bool fetches;

  if (!planner_can_order (engine, plan->now))
    return;
  if (model == NULL || inventory_model (engine->held, engine->goal) != NULL)
    {
      g_clear_pointer (&engine->goal, g_free);
      return;
    }
  planner_load_s (engine, model->site, &fetches);
  if (planner_free_mb (plan->planner, engine)
      >= (int64_t)model->site->memory_mb)
    {
      if (fetches && !may_fetch (plan, 0))
        return;
      load (plan, engine, engine->goal, "goal");
      g_clear_pointer (&engine->goal, g_free);
      return;
    }
  victim = victim_of (plan, engine, NULL, &value);
  if (victim == NULL)
    g_clear_pointer (&engine->goal, g_free);
  else
    evict (plan, engine, victim, value);
}

/* Begins to bring MODEL onto the engine of PLACE.  */
static void
begin (struct plan *plan, struct plan_model *model,
       const struct plan_place *place)
{
  place->engine->goal = g_strdup (model->site->name);
  model->planned = true;
  pursue (plan, place->engine);
}

static bool
try_place (struct plan *plan, struct plan_model *model, double benefit,
           bool fetch)
{
  struct plan_place place;

  if (fetch)
    fetch = may_fetch (plan, 0);
  place = best_place (plan, model->site, fetch);
  if (place.engine == NULL || place.loss >= benefit || place.busy_s > 0)
    return false;
  begin (plan, model, &place);
  return true;
}

/* Most urgent first, then most waiting, then most called.  */
static gint
by_need (gconstpointer a, gconstpointer b)
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

static GPtrArray *
sorted_models (const struct plan *plan)
{
  GPtrArray *models = g_ptr_array_new ();
  struct plan_model *model;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->models);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&model))
    g_ptr_array_add (models, model);
  g_ptr_array_sort (models, by_need);
  return models;
}

/* For requests that wait any loss is taken but that of another model for
   which requests wait.  */
static void
serve_waiting (struct plan *plan, const GPtrArray *models)
{
  for (guint i = 0; i < models->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (models, i);

      if (model->waiting > 0 && model->replicas == 0 && !model->planned)
        try_place (plan, model, WANTED_VALUE, true);
    }
}

/* Requests wait for MODEL though engines are thought to hold it: these may be
   gone, which their address tells sooner than the platform's list.  */
static void
doubt_holders (struct plan *plan, const struct plan_model *model)
{
  struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->known && inventory_model (engine->held, model->site->name))
      planner_verify_engine (engine, plan->now, plan->out);
}

static void
check_waiting (struct plan *plan, const GPtrArray *models)
{
  for (guint i = 0; i < models->len; i++)
    {
      const struct plan_model *model = g_ptr_array_index (models, i);

      if (model->waiting > 0 && model->loaded > 0)
        doubt_holders (plan, model);
    }
}

static void
add_replicas (struct plan *plan, const GPtrArray *models)
{
  for (guint i = 0; i < models->len; i++)
    {
      struct plan_model *model = g_ptr_array_index (models, i);
      unsigned need = needed (plan, model);

      if (!model->planned && model->replicas > 0 && model->replicas < need)
        try_place (plan, model, model->per_s * PLANNER_REQUEST_S * HORIZON_S,
                   true);
    }
}

/* Models on no engine.  One whose weights are at hand is loaded for the calls
   that it gets; one whose weights are nowhere also for those that may come,
   since it would hold them up for longest.  One fetch is left for requests
   that wait.  A round goes on where the one before ended, and begins anew with
   the most called after a success.  */
static void
preload (struct plan *plan, const GPtrArray *models)
{
  bool fetch = may_fetch (plan, 1);
  unsigned tries = 0;
  guint next = 0;

  for (guint i = 0; i < models->len && tries < PRELOAD_TRIES; i++)
    {
      guint at = (i + plan->planner->preload_from) % models->len;
      struct plan_model *model = g_ptr_array_index (models, at);
      double value
          = FREE_VALUE + model->per_s * HORIZON_S * model->site->disk_s;

      if (!model->at_hand)
        value = MAX (model->per_s, PRIOR_PER_S) * HORIZON_S
                * model->site->load_s;
      if (model->replicas > 0 || model->planned)
        continue;
      tries++;
      next = at + 1;
      if (!try_place (plan, model, value, fetch && !model->at_hand))
        continue;
      fetch = may_fetch (plan, 1);
      next = 0;
    }
  plan->planner->preload_from = next;
}

/* When the models may be had that requests wait for and no engine loads: the
   weight store serves the most urgent first, some at a time.  */
static void
estimate (struct plan *plan, const GPtrArray *models)
{
  const struct budget *budget = &plan->planner->budget;
  unsigned ahead = budget->in_flight + plan->foreign;

  g_hash_table_remove_all (plan->planner->expected);
  for (guint i = 0; i < models->len; i++)
    {
      const struct plan_model *model = g_ptr_array_index (models, i);
      const struct site_model *site = model->site;
      double ready_s = GOAL_S + site->disk_s;
      struct timespec *at;

      if (model->waiting == 0 || model->replicas > 0)
        continue;
      if (!model->at_hand)
        {
          ready_s = site->load_s
                    + site->load_s * ahead / budget_max_in_flight (budget);
          ahead++;
        }
      at = g_new (struct timespec, 1);
      *at = ts_add (plan->now, ts_from_s (ready_s));
      g_hash_table_insert (plan->planner->expected, g_strdup (site->name), at);
    }
}

void
planner_run_round (struct planner *planner, struct timespec now,
                   struct action_list *out)
{
  struct plan plan = { .planner = planner, .now = now, .out = out };
  struct planner_engine *engine;
  GHashTableIter iter;
  GPtrArray *models;

  plan_begin (&plan);
  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (engine->goal != NULL)
      pursue (&plan, engine);
  planner_place_waiting_adapters (&plan);
  models = sorted_models (&plan);
  check_waiting (&plan, models);
  serve_waiting (&plan, models);
  add_replicas (&plan, models);
  planner_replicate_adapters (&plan);
  preload (&plan, models);
  estimate (&plan, models);
  g_ptr_array_unref (models);
  g_hash_table_unref (plan.models);
}
