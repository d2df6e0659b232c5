#include "policy_setup.h"

#include "ts.h"

#define CLOCK_START_S 1000.0 /* monotonic clock at the start of the run */
#define WALL_CLOCK_START_DAYS                                                 \
  10.0 /* wall clock at the start, since the Epoch */
#define ZONES 4
#define ADAPTERS_AT_ONCE 30

unsigned
bench_model_pool (const struct bench_user *user, unsigned model)
{
  return model < user->models[0] ? 0 : 1;
}

struct timespec
bench_time (double s)
{
  return ts_from_s (CLOCK_START_S + s);
}

void
bench_setup_doc (const struct bench_run *run, struct doc *doc)
{
  const struct bench_user *user = run->user;
  unsigned adapters_per_model = user->adapters / BENCH_MODELS;

  doc->team_count = 1;
  doc->teams = g_new0 (struct doc_team, 1);
  doc->teams[0].name = g_strdup (user->name);
  doc->teams[0].cold_weight
      = run->cold_weight >= 0.0 ? run->cold_weight : user->cold_weight;
  doc->model_count = BENCH_MODELS;
  doc->models = g_new0 (struct doc_model, BENCH_MODELS);
  doc->adapter_count = BENCH_MODELS * adapters_per_model;
  doc->adapters = g_new0 (struct doc_adapter, doc->adapter_count);
  for (unsigned i = 0; i < BENCH_MODELS; i++)
    {
      struct doc_model *model = &doc->models[i];

      model->name = g_strdup_printf ("m%02u", i);
      model->team = g_strdup (user->name);
      model->pool = g_strdup_printf ("%u", bench_model_pool (user, i));
      model->version = g_strdup ("1");
      model->memory_mb = bench_model_mb (i);
      model->kv_reserve_mb = KV_RESERVE_MB;
      model->max_replicas = 2;
      model->priority = 5;
    }
  for (unsigned i = 0; i < doc->adapter_count; i++)
    {
      struct doc_adapter *adapter = &doc->adapters[i];

      adapter->name = g_strdup_printf ("x%03u", i);
      adapter->team = g_strdup (user->name);
      adapter->model = g_strdup (doc->models[i / adapters_per_model].name);
      adapter->version = g_strdup ("1");
      adapter->memory_mb = ADAPTER_MB;
      adapter->priority = 5;
    }
}

void
bench_setup_doc_clear (struct doc *doc)
{
  for (size_t i = 0; i < doc->model_count; i++)
    {
      g_free (doc->models[i].name);
      g_free (doc->models[i].team);
      g_free (doc->models[i].pool);
      g_free (doc->models[i].version);
    }
  for (size_t i = 0; i < doc->adapter_count; i++)
    {
      g_free (doc->adapters[i].name);
      g_free (doc->adapters[i].team);
      g_free (doc->adapters[i].model);
      g_free (doc->adapters[i].version);
    }
  g_free (doc->teams[0].name);
  g_free (doc->teams);
  g_free (doc->models);
  g_free (doc->adapters);
}

static bool
is_in_pool_0 (void *user, const struct doc_model *model)
{
  (void)user;
  return model->pool[0] == '0';
}

static bool
is_in_pool_1 (void *user, const struct doc_model *model)
{
  (void)user;
  return model->pool[0] == '1';
}

/* Places each checkpoint on the disks of up to two random engines of its pool,
   except every fourth one, which is only in the store.  */
static void
init_disks (const struct bench_user *user, struct bench_engine *engines,
            GRand *rand)
{
  for (unsigned i = 0; i < BENCH_MODELS; i++)
    {
      unsigned pool = bench_model_pool (user, i);
      unsigned base = pool == 0 ? 0 : user->engines[0];
      char *key = g_strdup_printf ("m%02u@1", i);

      for (int j = 0; j < 2 && i % 4 != 3; j++)
        {
          unsigned e = base
                       + (unsigned)g_rand_int_range (rand, 0,
                                                     (int)user->engines[pool]);

          bench_engine_add_checkpoint (&engines[e], key);
        }
      g_free (key);
    }
}

struct bench_engine *
bench_setup_engines (const struct bench_user *user, GRand *rand)
{
  unsigned count = user->engines[0] + user->engines[1];
  struct bench_engine *engines = g_new0 (struct bench_engine, count);

  for (unsigned i = 0; i < count; i++)
    {
      char zone[8];

      g_snprintf (zone, sizeof zone, "z%u", i % ZONES);
      bench_engine_init (&engines[i], i >= user->engines[0], i, zone);
    }
  init_disks (user, engines, rand);
  return engines;
}

void
bench_setup_cells (const struct bench_run *run, const struct doc *doc,
                   const struct bench_engine *engines, struct place **cells,
                   struct action_list *out)
{
  struct place_options options = { 0 };

  options.doc = doc;
  options.seed = run->seed;
  options.policy = run->policy;
  options.now = bench_time (0.0);
  options.wall_offset
      = ts_from_s (-CLOCK_START_S + WALL_CLOCK_START_DAYS * DAY_S);
  options.fence = 1;
  options.loads_per_s = run->user->loads_per_s;
  options.loads_at_once = run->user->loads_at_once;
  options.adapters_at_once = ADAPTERS_AT_ONCE;
  for (unsigned i = 0; i < BENCH_POOLS; i++)
    {
      options.cell = i == 0 ? "c0" : "c1";
      options.mine = i == 0 ? is_in_pool_0 : is_in_pool_1;
      cells[i] = place_new (&options);
    }
  for (unsigned i = 0; i < run->user->engines[0] + run->user->engines[1]; i++)
    {
      const struct bench_engine *engine = &engines[i];

      place_engine_seen (cells[engine->pool], engine->id, "", engine->zone,
                         false, bench_time (0.0), out);
    }
}
