/* Placement by delay under typical patterns of load, on engines that tell
   their pace and carry out each order after a fixed time.  */

#include <math.h>
#include <glib.h>
#include "modelspeed.h"
#include "planner.h"
#include "ts.h"

#define ENGINES_MAX 60
#define MODELS_MAX 130
#define MODEL_MB 90
#define ENGINE_MB 200 /* two models */
#define STEP_MS 100
#define STORE_S 13.2
#define DISK_S 0.5
#define UNLOAD_MS 200
#define SLOW 1.2
#define FAST 0.55

struct engine
{
  struct inventory *inventory;
  double pace;
  int64_t unload_ms; /* if more than UNLOAD_MS */
  char *changing;    /* model of the order in progress; NULL: none */
  enum backend_order_type type;
  int64_t ends_ms;
};

struct fixture
{
  struct planner *planner;
  struct site_service service;
  struct site_model models[MODELS_MAX];
  double per_s[MODELS_MAX]; /* requests */
  double due[MODELS_MAX];   /* part of a request that is due */
  unsigned waiting[MODELS_MAX];
  double objective_s;
  struct engine engines[ENGINES_MAX];
  unsigned engine_count;
  unsigned loads;
  unsigned fetches;
  unsigned fetching; /* now */
  unsigned most_fetching;
  unsigned unloads;
  struct action_list list;
  int64_t ms;
  GRand *rand; /* of arrivals; NULL: at equal intervals */
};

static void
new_decider (struct fixture *f)
{
  struct planner_options options
      = { .loads_at_once = 4, .now = ts_from_ms (f->ms) };

  planner_free (f->planner);
  f->planner = planner_new (&options);
  planner_set_service (f->planner, &f->service, options.now);
}

static void
set_up (struct fixture *f, unsigned engines, unsigned models)
{
  memset (f, 0, sizeof *f);
  for (unsigned i = 0; i < models; i++)
    f->models[i] = (struct site_model){ .name = g_strdup_printf ("m%u", i),
                                        .memory_mb = MODEL_MB,
                                        .load_s = STORE_S,
                                        .disk_s = DISK_S,
                                        .memory_s = DISK_S };
  f->service = (struct site_service){ .name = (char *)"s",
                                      .engines = true,
                                      .memory_mb = ENGINE_MB,
                                      .loads_per_s = 13,
                                      .models = f->models,
                                      .model_count = models };
  f->engine_count = engines;
  for (unsigned i = 0; i < engines; i++)
    {
      f->engines[i].inventory = inventory_new ();
      f->engines[i].inventory->born = 1;
      f->engines[i].pace = i % 4 == 1 ? FAST : SLOW;
    }
  f->objective_s = 0.8;
  f->ms = 1000;
  action_list_init (&f->list);
  new_decider (f);
}

static void
tear_down (struct fixture *f)
{
  action_list_clear (&f->list);
  planner_free (f->planner);
  for (unsigned i = 0; i < f->engine_count; i++)
    {
      inventory_free (f->engines[i].inventory);
      g_free (f->engines[i].changing);
    }
  for (size_t i = 0; i < f->service.model_count; i++)
    g_free (f->models[i].name);
}

/* MODEL is on ENGINE, in accelerator memory if LOADED, and on its disk.  */
static void
put (struct fixture *f, unsigned engine, unsigned model, bool loaded)
{
  struct inventory *inventory = f->engines[engine].inventory;

  if (loaded)
    inventory_add (inventory, f->models[model].name);
  if (!inventory_name_listed (inventory->on_disk, f->models[model].name))
    g_ptr_array_add (inventory->on_disk, g_strdup (f->models[model].name));
}

static bool
holds (const struct fixture *f, unsigned engine, unsigned model)
{
  return inventory_has (f->engines[engine].inventory, f->models[model].name,
                        NULL);
}

static unsigned
replicas (const struct fixture *f, unsigned model)
{
  unsigned n = 0;

  for (unsigned i = 0; i < f->engine_count; i++)
    n += holds (f, i, model);
  return n;
}

/* The share of their time for which the engines with MODEL read its prompts,
   if they get equal shares.  */
static double
utilization (const struct fixture *f, unsigned model)
{
  double read_s = planner_delay_tokens (9190, 6300) / 38700;
  double speed = 0;

  for (unsigned i = 0; i < f->engine_count; i++)
    if (holds (f, i, model))
      speed += 1 / f->engines[i].pace;
  return f->per_s[model] * read_s / speed;
}

static void
report (struct fixture *f, unsigned i)
{
  char id[8];
  struct server_entry entry = { .id = id,
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .slots = 64,
                                .inventory = f->engines[i].inventory };

  g_snprintf (id, sizeof id, "e%u", i);
  planner_update_engine (f->planner, &entry);
  planner_set_pace (f->planner, id, f->engines[i].pace);
  planner_report (f->planner, id, f->engines[i].inventory, ts_from_ms (f->ms),
                  &f->list);
}

static void
report_all (struct fixture *f)
{
  for (unsigned i = 0; i < f->engine_count; i++)
    report (f, i);
}

static unsigned
engine_index (const char *id)
{
  return (unsigned)g_ascii_strtoull (id + 1, NULL, 10);
}

static uint64_t
model_mb (const struct fixture *f, const char *name)
{
  return f->models[engine_index (name)].memory_mb;
}

static uint64_t
used_mb (const struct fixture *f, const struct engine *engine)
{
  uint64_t mb = 0;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);

      mb += model_mb (f, held->name);
    }
  return mb;
}

static void
begin_order (struct fixture *f, const struct planner_action *action)
{
  struct engine *engine = &f->engines[engine_index (action->engine)];
  int64_t ms = MAX (UNLOAD_MS, engine->unload_ms);

  if (g_test_verbose ())
    g_test_message ("%" G_GINT64_FORMAT " %s %s %s %s", f->ms,
                    action->type == BACKEND_LOAD ? "load" : "unload",
                    action->engine, action->model, action->reason);
  g_assert_null (engine->changing);
  engine->changing = g_strdup (action->model);
  engine->type = action->type;
  if (action->type == BACKEND_UNLOAD)
    f->unloads++;
  else
    {
      bool local
          = inventory_name_listed (engine->inventory->on_disk, action->model);

      g_assert_cmpuint (used_mb (f, engine) + model_mb (f, action->model), <=,
                        ENGINE_MB);
      f->loads++;
      f->fetches += !local;
      f->fetching += !local;
      f->most_fetching = MAX (f->most_fetching, f->fetching);
      ms = (int64_t)((local ? DISK_S : STORE_S * f->fetching) * 1000);
    }
  engine->ends_ms = f->ms + ms;
  engine->inventory->sequence++;
  engine->inventory->busy = true;
  planner_order_answered (f->planner, action->engine, BACKEND_ACCEPTED,
                          ts_from_ms (f->ms), &f->list);
}

static void
end_order (struct fixture *f, struct engine *engine)
{
  struct inventory *inventory = engine->inventory;

  if (engine->type == BACKEND_UNLOAD)
    inventory_remove_model (inventory, engine->changing);
  else
    {
      inventory_add (inventory, engine->changing);
      if (!inventory_name_listed (inventory->on_disk, engine->changing))
        {
          g_ptr_array_add (inventory->on_disk, g_strdup (engine->changing));
          f->fetching--;
        }
    }
  inventory->busy = false;
  g_clear_pointer (&engine->changing, g_free);
}

static void
run_engines (struct fixture *f)
{
  for (unsigned i = 0; i < f->engine_count; i++)
    if (f->engines[i].changing != NULL && f->ms >= f->engines[i].ends_ms)
      {
        end_order (f, &f->engines[i]);
        report (f, i);
      }
}

/* COUNT requests of 9,190 tokens for MODEL.  */
static void
send_requests (struct fixture *f, unsigned model, unsigned count)
{
  const char *name = f->models[model].name;
  struct planner_delay_kind kind
      = { .count = count,
          .tokens = planner_delay_tokens (9190, 6300),
          .answer_tokens = 20,
          .objective_s = f->objective_s,
          .priority = 1 };

  if (f->objective_s > 0)
    planner_note_requests (f->planner, name, &kind);
  planner_request_arrived (f->planner, name, count, ts_from_ms (f->ms));
  if (replicas (f, model) == 0)
    f->waiting[model] += count;
  planner_set_waiting (f->planner, "n", name, f->waiting[model], 1,
                       ts_from_ms (f->ms));
}

/* Of independent arrivals, MEAN in the mean.  */
static unsigned
random_count (GRand *rand, double mean)
{
  double left = g_rand_double (rand);
  double p = exp (-mean);
  unsigned n = 0;

  for (; left > p && n < 1000; n++)
    {
      left -= p;
      p *= mean / (n + 1);
    }
  return n;
}

static void
send_due_requests (struct fixture *f)
{
  for (unsigned i = 0; i < f->service.model_count; i++)
    {
      unsigned count;

      if (f->waiting[i] > 0 && replicas (f, i) > 0)
        {
          f->waiting[i] = 0;
          planner_set_waiting (f->planner, "n", f->models[i].name, 0, 1,
                               ts_from_ms (f->ms));
        }
      f->due[i] += f->per_s[i] * STEP_MS / 1000;
      if (f->rand != NULL)
        count = random_count (f->rand, f->per_s[i] * STEP_MS / 1000);
      else
        count = (unsigned)f->due[i];
      f->due[i] -= count;
      if (count > 0)
        send_requests (f, i, count);
    }
}

static void
run_actions (struct fixture *f)
{
  struct action *next;

  while ((next = action_pop (&f->list)) != NULL)
    {
      const struct planner_action *action = (struct planner_action *)next;

      if (next->type == PLANNER_ORDER)
        begin_order (f, action);
      else if (next->type == PLANNER_GET_REPORT)
        report (f, engine_index (action->engine));
      action_free (next);
    }
}

static void
run (struct fixture *f, double s)
{
  int64_t end_ms = f->ms + (int64_t)(s * 1000);

  while (f->ms < end_ms)
    {
      f->ms += STEP_MS;
      run_engines (f);
      send_due_requests (f);
      planner_tick (f->planner, ts_from_ms (f->ms), &f->list);
      run_actions (f);
    }
}

/* The models asked for most were on one slow engine, while others were idle:
   they get replicas, first on the fast one.  */
static void
test_crowded_slow_engine (void)
{
  struct fixture f;

  set_up (&f, 4, 6);
  put (&f, 0, 0, true);
  put (&f, 0, 1, true);
  for (unsigned i = 2; i < 6; i++)
    put (&f, 1 + (i - 2) / 2, i, true);
  for (unsigned i = 1; i < 4; i++)
    put (&f, i, 0, false);
  put (&f, 1, 1, false);
  put (&f, 2, 1, false);
  report_all (&f);
  f.per_s[0] = 4;
  f.per_s[1] = 1;
  run (&f, 30);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  g_assert_true (holds (&f, 1, 0));
  tear_down (&f);
}

/* The same load where all engines are as fast as usual needs no more than
   these have: nothing is moved.  */
static void
test_calm (void)
{
  struct fixture f;

  set_up (&f, 4, 6);
  for (unsigned i = 0; i < 6; i++)
    put (&f, i % 4, i, true);
  report_all (&f);
  for (unsigned i = 0; i < 6; i++)
    f.per_s[i] = 0.1;
  run (&f, 60);
  g_assert_cmpuint (f.unloads, ==, 0);
  g_assert_cmpuint (f.loads, ==, 0);
  tear_down (&f);
}

/* An engine with three models that are all asked for often, beside idle ones:
   it gets relief, and each model is loaded elsewhere before it is unloaded
   there, if at all.  */
static void
test_crowded_by_several (void)
{
  struct fixture f;

  set_up (&f, 4, 3);
  for (unsigned i = 0; i < 3; i++)
    {
      f.models[i].memory_mb = 60;
      put (&f, 0, i, true);
      f.per_s[i] = 2;
    }
  for (unsigned i = 0; i < 3; i++)
    put (&f, 1 + i, i, false);
  report_all (&f);
  f.objective_s = 0.5;
  for (int i = 0; i < 300; i++)
    {
      run (&f, 0.1);
      for (unsigned m = 0; m < 3; m++)
        g_assert_cmpuint (replicas (&f, m), >, 0);
    }
  g_assert_cmpuint (replicas (&f, 0) + replicas (&f, 1) + replicas (&f, 2), >=,
                    5);
  g_assert_cmpuint (f.unloads, ==, 0);
  tear_down (&f);
}

/* Nodes of an earlier release, and routes without an objective, do not tell
   what requests are like: replicas are found nevertheless.  */
static void
test_unknown_requests (void)
{
  struct fixture f;

  set_up (&f, 3, 2);
  put (&f, 0, 0, true);
  put (&f, 1, 0, false);
  put (&f, 2, 0, false);
  report_all (&f);
  f.objective_s = 0;
  f.per_s[0] = 12;
  run (&f, 15);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  tear_down (&f);
}

/* Of two models that as many ask for, work for the large one takes four times
   as long: both got as many replicas.  */
static void
test_large_model (void)
{
  struct fixture f;
  struct modelspeed *speed = modelspeed_new ();

  set_up (&f, 12, 2);
  for (unsigned i = 0; i < 12; i++)
    for (unsigned m = 0; m < 2; m++)
      put (&f, i, m, i == m);
  for (int i = 0; i < 100; i++)
    {
      modelspeed_add (speed, "m0", 0.5);
      modelspeed_add (speed, "m1", 2);
    }
  planner_set_speeds (f.planner, speed);
  report_all (&f);
  f.per_s[0] = 8;
  f.per_s[1] = 8;
  run (&f, 40);
  g_test_message ("small: %u, large: %u", replicas (&f, 0), replicas (&f, 1));
  g_assert_cmpuint (replicas (&f, 1), >, replicas (&f, 0));
  tear_down (&f);
  modelspeed_free (speed);
}

/* A model that nobody asked for becomes hot, then cools down: its replicas go
   where others are asked for.  */
static void
test_hot_model (void)
{
  struct fixture f;

  set_up (&f, 6, 13);
  for (unsigned i = 0; i < 12; i++)
    put (&f, i / 2, i, true);
  for (unsigned i = 1; i < 6; i++)
    put (&f, i, 0, false);
  put (&f, 2, 12, false);
  report_all (&f);
  for (unsigned i = 1; i < 3; i++)
    f.per_s[i] = 0.2;
  run (&f, 20);
  g_assert_cmpuint (replicas (&f, 0), ==, 1);
  f.per_s[0] = 16;
  run (&f, 15);
  g_assert_cmpuint (replicas (&f, 0), >=, 3);
  f.per_s[0] = 0.1;
  run (&f, 40);
  f.per_s[12] = 0.2;
  run (&f, 10);
  g_assert_cmpuint (replicas (&f, 12), ==, 1);
  g_assert_cmpuint (replicas (&f, 1), >=, 1);
  tear_down (&f);
}

/* Demand moves from one model to another.  */
static void
test_demand_moves (void)
{
  struct fixture f;

  set_up (&f, 4, 8);
  for (unsigned i = 0; i < 8; i++)
    put (&f, i / 2, i, true);
  for (unsigned i = 0; i < 4; i++)
    {
      put (&f, i, 0, false);
      put (&f, i, 7, false);
    }
  report_all (&f);
  f.per_s[0] = 6;
  run (&f, 40);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  f.per_s[0] = 0;
  f.per_s[7] = 6;
  run (&f, 40);
  g_assert_cmpuint (replicas (&f, 7), >=, 2);
  tear_down (&f);
}

/* Requests for 123 models on 60 engines with 120 places: those asked for often
   are always there and have several replicas, and the places are not exchanged
   all the time.  */
static void
test_short_of_places (void)
{
  struct fixture f;
  unsigned unloads;

  set_up (&f, 60, 123);
  for (unsigned i = 0; i < 123; i++)
    {
      put (&f, i % 60, i, i < 120);
      for (unsigned j = 1; j < 4; j++)
        put (&f, (i + j * 7) % 60, i, false);
      f.per_s[i] = 30.0 / ((1 + i) * sqrt (1 + i));
    }
  report_all (&f);
  run (&f, 60);
  unloads = f.unloads;
  for (int i = 0; i < 60; i++)
    {
      run (&f, 1);
      for (unsigned m = 0; m < 10; m++)
        g_assert_cmpuint (replicas (&f, m), >, 0);
    }
  g_assert_cmpfloat (utilization (&f, 0), <, 0.6);
  g_assert_cmpfloat (utilization (&f, 1), <, 0.6);
  g_assert_cmpfloat (utilization (&f, 2), <, 0.6);
  g_test_message ("%u unloads, then %u in a minute; %u fetches", unloads,
                  f.unloads - unloads, f.fetches);
  g_assert_cmpuint (f.unloads - unloads, <=, 60);
  tear_down (&f);
}

/* The same with random arrivals: rates that are measured vary, and replicas of
   the models asked for often must not come and go with them.  */
static void
test_random_arrivals (void)
{
  struct fixture f;
  unsigned loads;

  set_up (&f, 60, 110);
  f.rand = g_rand_new_with_seed (3);
  for (unsigned i = 0; i < 110; i++)
    {
      put (&f, i % 60, i, true);
      for (unsigned j = 1; j < 4; j++)
        put (&f, (i + j * 7) % 60, i, false);
      f.per_s[i] = 30.0 / ((1 + i) * sqrt (1 + i));
    }
  report_all (&f);
  run (&f, 90);
  loads = f.loads;
  run (&f, 120);
  g_test_message ("%u loads, then %u in two minutes; m0 has %u, m1 %u", loads,
                  f.loads - loads, replicas (&f, 0), replicas (&f, 1));
  g_assert_cmpuint (f.loads - loads, <=, 60);
  g_assert_cmpfloat (utilization (&f, 0), <, 0.6);
  g_rand_free (f.rand);
  tear_down (&f);
}

/* 15 evictions were ordered in the first second after a take-over, of models
   that had run until then.  */
static void
test_take_over (void)
{
  struct fixture f;
  unsigned unloads;

  set_up (&f, 10, 24);
  for (unsigned i = 0; i < 24; i++)
    {
      put (&f, i % 10, i, i < 20);
      put (&f, (i + 1) % 10, i, false);
      f.per_s[i] = i < 20 ? 0.6 : 0;
    }
  report_all (&f);
  run (&f, 20);
  new_decider (&f);
  report_all (&f);
  unloads = f.unloads;
  for (unsigned i = 20; i < 24; i++)
    send_requests (&f, i, 1);
  run (&f, 4);
  g_assert_cmpuint (f.unloads, ==, unloads);
  run (&f, 10);
  for (unsigned i = 20; i < 24; i++)
    g_assert_cmpuint (f.waiting[i], ==, 0);
  tear_down (&f);
}

/* The engine chosen for a further replica makes room only when the requests
   that run there have ended: the replica is loaded at another one, while the
   weight store is idle.  */
static void
test_slow_drain (void)
{
  struct fixture f;

  set_up (&f, 4, 8);
  for (unsigned i = 0; i < 8; i++)
    put (&f, i / 2, i, true);
  report_all (&f);
  f.engines[1].unload_ms = 15000;
  f.per_s[0] = 8;
  f.per_s[1] = 1;
  run (&f, 25);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  tear_down (&f);
}

/* The first requests of the day, long after the take-over: models that nobody
   has asked for give way within 3 s to one that many ask for.  */
static void
test_first_requests (void)
{
  struct fixture f;

  set_up (&f, 4, 8);
  for (unsigned i = 0; i < 8; i++)
    put (&f, i / 2, i, true);
  for (unsigned i = 1; i < 4; i++)
    put (&f, i, 0, false);
  report_all (&f);
  run (&f, 10);
  f.per_s[0] = 12;
  f.per_s[1] = 1;
  run (&f, 3.5);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  g_assert_cmpuint (replicas (&f, 1), ==, 1);
  tear_down (&f);
}

/* The weight store serves one load at a time at full speed, and a load for one
   request took it from the model that most asked for.  */
static void
test_store_order (void)
{
  struct fixture f;

  set_up (&f, 6, 10);
  put (&f, 0, 0, true);
  for (unsigned i = 1; i < 6; i++)
    put (&f, i, i, true);
  report_all (&f);
  f.per_s[0] = 12;
  for (unsigned i = 6; i < 10; i++)
    f.per_s[i] = 0.05;
  run (&f, 22);
  g_assert_cmpuint (f.fetching, <=, 1);
  g_assert_cmpuint (replicas (&f, 0), >=, 2);
  tear_down (&f);
}

/* Fetches slow each other down, which shows when one of them takes longer than
   it should: further ones must not wait for its end to learn that.  */
static void
test_slowed_fetches (void)
{
  struct fixture f;

  set_up (&f, 40, 60);
  for (unsigned i = 0; i < 40; i++)
    put (&f, i, i, true);
  report_all (&f);
  f.per_s[0] = 40;
  run (&f, 200);
  g_assert_cmpuint (f.most_fetching, <=, 2);
  g_assert_cmpuint (replicas (&f, 0), >=, 6);
  tear_down (&f);
}

/* Requests wait for two models that only the weight store has: one of the
   highest priority goes before three others.  */
static void
test_store_priority (void)
{
  struct fixture f;

  set_up (&f, 3, 5);
  for (unsigned i = 0; i < 3; i++)
    put (&f, i, i, true);
  report_all (&f);
  f.per_s[0] = 0.5;
  run (&f, 12);
  for (int i = 0; i < 3; i++)
    planner_request_arrived (f.planner, "m3", 1, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m3", 3, 1, ts_from_ms (f.ms));
  planner_request_arrived (f.planner, "m4", 1, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  run (&f, 14);
  g_assert_cmpuint (replicas (&f, 4), ==, 1);
  g_assert_cmpuint (replicas (&f, 3), ==, 0);
  run (&f, 14);
  g_assert_cmpuint (replicas (&f, 3), ==, 1);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/planner-load/crowded-slow-engine",
                   test_crowded_slow_engine);
  g_test_add_func ("/planner-load/calm", test_calm);
  g_test_add_func ("/planner-load/crowded-by-several",
                   test_crowded_by_several);
  g_test_add_func ("/planner-load/unknown-requests", test_unknown_requests);
  g_test_add_func ("/planner-load/large-model", test_large_model);
  g_test_add_func ("/planner-load/hot-model", test_hot_model);
  g_test_add_func ("/planner-load/demand-moves", test_demand_moves);
  g_test_add_func ("/planner-load/short-of-places", test_short_of_places);
  g_test_add_func ("/planner-load/random-arrivals", test_random_arrivals);
  g_test_add_func ("/planner-load/take-over", test_take_over);
  g_test_add_func ("/planner-load/slow-drain", test_slow_drain);
  g_test_add_func ("/planner-load/first-requests", test_first_requests);
  g_test_add_func ("/planner-load/store-order", test_store_order);
  g_test_add_func ("/planner-load/slowed-fetches", test_slowed_fetches);
  g_test_add_func ("/planner-load/store-priority", test_store_priority);
  return g_test_run ();
}
