#include "policy_world.h"

#include <math.h>
#include <string.h>
#include "policy_setup.h"
#include "ts.h"

#define STEP_BUSY_S 0.1
#define STEP_MAX_S 1.0
#define REPORT_BUSY_S 0.25
#define REPORT_IDLE_S 5.0
#define FIRST_TOKEN_S 0.3 /* prefill on a loaded model */
#define LOST_FOR_S 2400.0
#define LOST_AFTER_S 2.0 /* until the instance list says so */
#define ENGINES_LOST 2
#define STORE_FAULT 0.25

struct waiting
{
  struct bench_call call;
  double wake_s; /* below 0: the model was loaded */
  bool fetch;
};

struct running
{
  struct bench_engine *engine;
  struct bench_copy *copy;
  double end_s;
  struct waiting request;
};

struct world
{
  const struct bench_run *run;
  struct bench_result *result;
  double now_s;
  double measure_from_s;
  struct bench_store store;
  struct bench_engine *engines;
  unsigned engine_count;
  struct doc doc;
  struct place *cell[BENCH_POOLS];
  struct action_list out;
  GArray *waiting; /* struct waiting, by arrival */
  GArray *running; /* struct running */
  double wake_s[DAY_MODELS];
  bool wake_fetch[DAY_MODELS];
  GHashTable *told; /* "node target" -> count last given to the decider */
  unsigned lost;
};

double
bench_fetch_s (unsigned model)
{
  return bench_model_mb (model) / FETCH_MB_S;
}

double
bench_load_s (unsigned model)
{
  return LOAD_START_S + bench_model_mb (model) / LOAD_MB_S;
}

static bool
measured (const struct world *world)
{
  return world->now_s >= world->measure_from_s;
}

static int
model_index (const struct backend_order *order)
{
  return order->adapter != NULL ? -1 : atoi (order->model + 1);
}

static void
count_order (struct world *world, const struct place_action *action)
{
  const struct backend_order *order = &action->order;

  if (!measured (world))
    return;
  if (world->run->trace_s > 0.0)
    printf ("%10.2f %s order %d %s %s%s %s\n", world->now_s, order->engine,
            (int)order->type, order->model, order->adapter ? "+" : "",
            order->adapter ? order->adapter : "", action->reason);
  if (order->type == BACKEND_LOAD)
    {
      world->result->loads++;
      if (g_str_has_prefix (action->reason, "cause=expected"))
        world->result->prewarmed++;
    }
  if (order->type == BACKEND_UNLOAD)
    world->result->evictions++;
}

static struct bench_engine *
engine_named (struct world *world, const char *id)
{
  for (unsigned i = 0; i < world->engine_count; i++)
    if (strcmp (world->engines[i].id, id) == 0)
      return &world->engines[i];
  return NULL;
}

static void
carry_out (struct world *world)
{
  struct action *action;

  while ((action = action_pop (&world->out)) != NULL)
    {
      struct place_action *order = (struct place_action *)action;

      if (action->type == PLACE_ORDER)
        {
          struct bench_engine *engine
              = engine_named (world, order->order.engine);
          bool ok = bench_engine_order (engine, &order->order,
                                        model_index (&order->order));

          if (ok)
            count_order (world, order);
          place_order_settled (world->cell[engine->pool],
                               order->order.order_id, ok, "",
                               bench_instant (world->now_s), &world->out);
        }
      action_free (action);
    }
}

static const char *
target_of (const struct world *world, const struct bench_call *call)
{
  return call->adapter >= 0 ? world->doc.adapters[call->adapter].name
                            : world->doc.models[call->model].name;
}

static struct place *
cell_of (const struct world *world, unsigned model)
{
  return world->cell[bench_pool_of (world->run->user, model)];
}

/* The least busy engine where the nodes know the model, and the adapter, to
   be loaded.  */
static struct bench_engine *
server_of (struct world *world, const struct bench_call *call, bool *loaded)
{
  struct bench_engine *best = NULL;
  unsigned least = ENGINE_SLOTS;

  *loaded = false;
  for (unsigned i = 0; i < world->engine_count; i++)
    {
      struct bench_engine *engine = &world->engines[i];
      const char *name = world->doc.models[call->model].name;
      struct bench_copy *copy = bench_engine_find (engine, name);
      struct bench_copy *adapter = NULL;
      unsigned busy = bench_engine_running (engine);

      if (copy == NULL || !copy->known)
        continue;
      *loaded = true;
      if (call->adapter >= 0)
        {
          adapter = bench_engine_find (engine, target_of (world, call));
          if (adapter == NULL || !adapter->known)
            continue;
        }
      if (busy < least)
        {
          best = engine;
          least = busy;
        }
    }
  return best;
}

static void
trace_slow (const struct world *world, const struct waiting *request, double s)
{
  const struct bench_call *call = &request->call;

  if (world->run->trace_s > 0.0 && s > world->run->trace_s)
    printf ("%10.2f slow m%02u %s came %.2f took %.2f wake %.2f fetch %d\n",
            world->now_s, call->model, target_of (world, call), call->at_s, s,
            request->wake_s, request->fetch);
}

static void
record_start (struct world *world, const struct waiting *request)
{
  struct bench_cold cold;

  if (request->wake_s < 0.0 || request->call.at_s < world->measure_from_s)
    return;
  cold.at_s = request->call.at_s;
  cold.first_token_s = world->now_s + FIRST_TOKEN_S - request->call.at_s;
  cold.wake_s = request->wake_s;
  cold.model = request->call.model;
  cold.fetch = request->fetch;
  trace_slow (world, request, cold.first_token_s);
  g_array_append_val (world->result->cold, cold);
}

static bool
try_start (struct world *world, const struct waiting *request)
{
  bool loaded;
  struct bench_engine *engine = server_of (world, &request->call, &loaded);
  const char *name = world->doc.models[request->call.model].name;
  struct running running;

  if (engine == NULL)
    return false;
  running.engine = engine;
  running.copy = bench_engine_find (engine, name);
  running.copy->active++;
  running.end_s = world->now_s + FIRST_TOKEN_S + request->call.run_s;
  running.request = *request;
  g_array_append_val (world->running, running);
  record_start (world, request);
  return true;
}

static bool
on_a_disk (const struct world *world, unsigned model)
{
  char *key = g_strdup_printf ("%s@1", world->doc.models[model].name);
  bool found = false;

  for (unsigned i = 0; i < world->engine_count; i++)
    found = found || bench_engine_on_disk (&world->engines[i], key);
  g_free (key);
  return found;
}

static void
arrive (struct world *world, const struct bench_call *call)
{
  struct waiting request = { *call, -1.0, false };
  bool loaded;

  if (measured (world))
    world->result->calls++;
  place_request_arrived (cell_of (world, call->model), target_of (world, call),
                         1, bench_instant (world->now_s));
  (void)server_of (world, call, &loaded);
  if (!loaded)
    {
      if (world->wake_s[call->model] < 0.0)
        {
          world->wake_s[call->model] = call->at_s;
          world->wake_fetch[call->model] = !on_a_disk (world, call->model);
        }
      request.wake_s = world->wake_s[call->model];
      request.fetch = world->wake_fetch[call->model];
    }
  else
    world->wake_s[call->model] = -1.0;
  if (!try_start (world, &request))
    g_array_append_val (world->waiting, request);
}

static void
tell (struct world *world, unsigned node, const struct bench_call *call,
      unsigned count, double deadline_s)
{
  const char *target = target_of (world, call);
  char name[8];

  g_snprintf (name, sizeof name, "n%u", node);
  place_set_waiting (cell_of (world, call->model), name, target, count,
                     bench_instant (deadline_s), 5,
                     bench_instant (world->now_s), &world->out);
  carry_out (world);
}

struct told
{
  struct bench_call call; /* of the earliest deadline */
  unsigned count;
  unsigned last;
};

/* Gives the decider the counts that changed.  */
static void
tell_waiting (struct world *world)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < world->waiting->len; i++)
    {
      struct waiting *w = &g_array_index (world->waiting, struct waiting, i);
      char *key = g_strdup_printf ("%u %s", w->call.node,
                                   target_of (world, &w->call));
      struct told *told = g_hash_table_lookup (world->told, key);

      if (told == NULL)
        {
          told = g_new0 (struct told, 1);
          g_hash_table_insert (world->told, g_strdup (key), told);
        }
      if (told->count++ == 0)
        told->call = w->call;
      g_free (key);
    }
  g_hash_table_iter_init (&iter, world->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct told *told = value;

      if (told->count != told->last)
        tell (world, told->call.node, &told->call, told->count,
              told->call.deadline_s);
      told->last = told->count;
      told->count = 0;
      if (told->last == 0)
        g_hash_table_iter_remove (&iter);
    }
}

static void
serve_waiting (struct world *world)
{
  guint kept = 0;

  for (guint i = 0; i < world->waiting->len; i++)
    {
      struct waiting w = g_array_index (world->waiting, struct waiting, i);

      if (try_start (world, &w))
        continue;
      if (world->now_s >= w.call.deadline_s)
        {
          if (w.call.at_s >= world->measure_from_s)
            {
              world->result->refused++;
              trace_slow (world, &w, world->now_s - w.call.at_s);
            }
          continue;
        }
      g_array_index (world->waiting, struct waiting, kept++) = w;
    }
  g_array_set_size (world->waiting, kept);
}

static void
end_running (struct world *world)
{
  for (guint i = 0; i < world->running->len;)
    {
      struct running *r = &g_array_index (world->running, struct running, i);

      if (r->end_s > world->now_s)
        {
          i++;
          continue;
        }
      r->copy->active--;
      r->copy->used_s = world->now_s;
      g_array_remove_index_fast (world->running, i);
    }
}

static void
count_idle (struct world *world, double dt)
{
  if (!measured (world))
    return;
  for (unsigned i = 0; i < world->engine_count; i++)
    {
      struct bench_engine *engine = &world->engines[i];

      for (guint j = 0; j < engine->copies->len; j++)
        {
          struct bench_copy *copy = g_ptr_array_index (engine->copies, j);

          if (copy->model >= 0 && copy->stage == BENCH_LOADED
              && copy->active == 0)
            world->result->idle_h += dt / 3600.0 * ENGINE_ACCELERATORS
                                     * (copy->mb + RESERVE_MB) / ENGINE_MB;
        }
    }
}

/* Requests on a lost engine wait again; those were not cold when they came. */
static void
lose (struct world *world, struct bench_engine *engine)
{
  for (guint i = 0; i < world->running->len;)
    {
      struct running *r = &g_array_index (world->running, struct running, i);

      if (r->engine == engine)
        {
          r->request.wake_s = -1.0;
          g_array_append_val (world->waiting, r->request);
          g_array_remove_index_fast (world->running, i);
        }
      else
        i++;
    }
  bench_engine_lose (engine, &world->store);
}

/* Engine I is lost once in the busy hours of each day.  */
static void
fault_engines (struct world *world, unsigned i)
{
  const struct bench_user *user = world->run->user;
  struct bench_engine *engine = &world->engines[i * 5];
  double day_s = fmod (world->now_s, DAY_S);
  double at_s = (user->open_h + 2.0 + 3.0 * i) * 3600.0;
  bool down = day_s >= at_s && day_s < at_s + LOST_FOR_S;
  bool gone = down && day_s >= at_s + LOST_AFTER_S;
  struct place *place = world->cell[engine->pool];
  unsigned bit = 1u << i;

  if (down && engine->up)
    lose (world, engine);
  if (gone && (world->lost & bit) == 0)
    {
      place_engine_gone (place, engine->id, bench_instant (world->now_s),
                         &world->out);
      world->lost |= bit;
    }
  if (!down && !engine->up)
    {
      engine->up = true;
      world->lost &= ~bit;
      place_engine_seen (place, engine->id, "", engine->zone, false,
                         bench_instant (world->now_s), &world->out);
    }
}

static bool
pass_engines (struct world *world, double dt)
{
  bool busy = false;

  for (unsigned i = 0; i < world->engine_count; i++)
    {
      struct bench_engine *engine = &world->engines[i];
      bool loading
          = bench_engine_pass (engine, &world->store, world->now_s, dt);

      busy = busy || loading;
      if (!engine->up || world->now_s < engine->report_s)
        continue;
      engine->report_s
          = world->now_s + (loading ? REPORT_BUSY_S : REPORT_IDLE_S);
      bench_engine_report (engine, world->cell[engine->pool],
                           bench_instant (world->now_s), &world->out);
      carry_out (world);
    }
  return busy;
}

static void
tick_cells (struct world *world)
{
  struct timespec now = bench_instant (world->now_s);

  for (unsigned i = 0; i < BENCH_POOLS; i++)
    if (!ts_before (now, place_next (world->cell[i], now)))
      place_tick (world->cell[i], now, &world->out);
  carry_out (world);
}

static double
next_step (const struct world *world, bool busy, double next_call_s)
{
  double step = busy || world->waiting->len > 0 ? STEP_BUSY_S : STEP_MAX_S;

  if (next_call_s - world->now_s < step)
    step = fmax (next_call_s - world->now_s, 0.001);
  return step;
}

static void
run_day (struct world *world, unsigned day)
{
  GArray *calls = bench_day (world->run->user, world->run->seed, day);
  double end_s = (day + 1) * DAY_S;
  double dt = 0.0;
  guint next = 0;

  while (world->now_s < end_s)
    {
      double next_s = end_s;
      bool busy;

      if (world->run->fault & BENCH_FAULT_ENGINES)
        for (unsigned i = 0; i < ENGINES_LOST; i++)
          fault_engines (world, i);
      end_running (world);
      busy = pass_engines (world, dt);
      for (; next < calls->len; next++)
        {
          struct bench_call *call
              = &g_array_index (calls, struct bench_call, next);

          if (call->at_s > world->now_s)
            break;
          arrive (world, call);
        }
      serve_waiting (world);
      tell_waiting (world);
      tick_cells (world);
      if (next < calls->len)
        next_s = g_array_index (calls, struct bench_call, next).at_s;
      dt = next_step (world, busy, next_s);
      count_idle (world, dt);
      world->now_s += dt;
    }
  g_array_free (calls, TRUE);
}

static void
set_store (struct world *world)
{
  const struct bench_user *user = world->run->user;
  double factor = world->run->fault & BENCH_FAULT_STORE ? STORE_FAULT : 1.0;

  world->store.loads_per_s = user->loads_per_s * factor;
  world->store.at_once = user->loads_at_once;
  world->store.speed = factor;
}

void
bench_world_run (const struct bench_run *run, struct bench_result *result)
{
  struct world world = { 0 };
  GRand *rand = g_rand_new_with_seed (run->seed + 77);

  memset (result, 0, sizeof *result);
  result->cold = g_array_new (FALSE, FALSE, sizeof (struct bench_cold));
  world.run = run;
  world.result = result;
  world.measure_from_s = (run->days - 1) * DAY_S;
  world.waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting));
  world.running = g_array_new (FALSE, FALSE, sizeof (struct running));
  world.told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  action_list_init (&world.out);
  for (unsigned i = 0; i < DAY_MODELS; i++)
    world.wake_s[i] = -1.0;
  world.engine_count = run->user->engines[0] + run->user->engines[1];
  world.engines = bench_setup_engines (run->user, rand);
  bench_setup_doc (run, &world.doc);
  bench_setup_cells (run, &world.doc, world.engines, world.cell, &world.out);
  set_store (&world);
  for (unsigned day = 0; day < run->days; day++)
    run_day (&world, day);
  for (unsigned i = 0; i < BENCH_POOLS; i++)
    place_free (world.cell[i]);
  for (unsigned i = 0; i < world.engine_count; i++)
    bench_engine_clear (&world.engines[i]);
  action_list_clear (&world.out);
  g_free (world.engines);
  g_array_free (world.waiting, TRUE);
  g_array_free (world.running, TRUE);
  g_hash_table_unref (world.told);
  bench_setup_clear (&world.doc);
  g_rand_free (rand);
}
