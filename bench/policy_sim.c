#include "policy_sim.h"

#include <math.h>
#include <string.h>
#include "policy_setup.h"
#include "ts.h"

#define STEP_BUSY_S 0.1
#define STEP_IDLE_S 1.0
#define REPORT_INTERVAL_BUSY_S 0.25
#define REPORT_INTERVAL_IDLE_S 5.0
#define PREFILL_S 0.3 /* until the first token, on a loaded model */
#define OUTAGE_S 2400.0
#define DETECTION_S 2.0 /* until the instance list drops the engine */
#define FAULTY_ENGINES 2
#define STORE_FAULT_FACTOR 0.25

struct queued_call
{
  struct bench_call call;
  double cold_start_s; /* below 0: the model was loaded on arrival */
  bool from_store;
};

struct running_call
{
  struct bench_engine *engine;
  struct bench_copy *copy;
  double end_s;
  struct queued_call queued;
};

struct sim
{
  const struct bench_run *run;
  struct bench_result *result;
  double now_s;
  double measured_from_s;
  struct bench_store store;
  struct bench_engine *engines;
  unsigned engine_count;
  struct doc doc;
  struct place *cells[BENCH_POOLS];
  struct action_list out;
  GArray *waiting; /* struct queued_call, by arrival */
  GArray *running; /* struct running_call */
  double cold_start_s[BENCH_MODELS];
  bool cold_start_from_store[BENCH_MODELS];
  GHashTable *waiting_counts; /* "node target" -> struct waiting_count */
  unsigned dropped_engines;   /* bit mask of faulty engines */
};

double
bench_fetch_s (unsigned model)
{
  return bench_model_mb (model) / FETCH_MB_S;
}

double
bench_load_s (unsigned model)
{
  return LOAD_FIXED_S + bench_model_mb (model) / LOAD_MB_S;
}

static bool
is_measured (const struct sim *sim)
{
  return sim->now_s >= sim->measured_from_s;
}

static int
model_index (const struct backend_order *order)
{
  return order->adapter != NULL ? -1 : atoi (order->model + 1);
}

static void
count_order (struct sim *sim, const struct place_action *action)
{
  const struct backend_order *order = &action->order;

  if (!is_measured (sim))
    return;
  if (sim->run->trace_s > 0.0)
    printf ("%10.2f %s order %d %s %s%s %s\n", sim->now_s, order->engine,
            (int)order->type, order->model, order->adapter ? "+" : "",
            order->adapter ? order->adapter : "", action->reason);
  if (order->type == BACKEND_LOAD)
    {
      sim->result->loads++;
      if (g_str_has_prefix (action->reason, "cause=expected"))
        sim->result->prewarmed++;
    }
  if (order->type == BACKEND_UNLOAD)
    sim->result->evictions++;
}

static struct bench_engine *
find_engine (struct sim *sim, const char *id)
{
  for (unsigned i = 0; i < sim->engine_count; i++)
    if (strcmp (sim->engines[i].id, id) == 0)
      return &sim->engines[i];
  return NULL;
}

static void
execute_actions (struct sim *sim)
{
  struct action *action;

  while ((action = action_pop (&sim->out)) != NULL)
    {
      struct place_action *order = (struct place_action *)action;

      if (action->type == PLACE_ORDER)
        {
          struct bench_engine *engine = find_engine (sim, order->order.engine);
          bool ok = bench_engine_execute (engine, &order->order,
                                          model_index (&order->order));

          if (ok)
            count_order (sim, order);
          place_order_settled (sim->cells[engine->pool], order->order.order_id,
                               ok, "", bench_time (sim->now_s), &sim->out);
        }
      action_free (action);
    }
}

static const char *
target_name (const struct sim *sim, const struct bench_call *call)
{
  return call->adapter >= 0 ? sim->doc.adapters[call->adapter].name
                            : sim->doc.models[call->model].name;
}

static struct place *
cell_for_model (const struct sim *sim, unsigned model)
{
  return sim->cells[bench_model_pool (sim->run->user, model)];
}

/* Returns the least busy engine with a free slot that has reported the model,
   and the adapter if any, as loaded, or NULL.  Sets LOADED if any engine has
   reported the model.  */
static struct bench_engine *
pick_engine (struct sim *sim, const struct bench_call *call, bool *loaded)
{
  struct bench_engine *best = NULL;
  unsigned least = ENGINE_SLOTS;

  *loaded = false;
  for (unsigned i = 0; i < sim->engine_count; i++)
    {
      struct bench_engine *engine = &sim->engines[i];
      const char *name = sim->doc.models[call->model].name;
      struct bench_copy *copy = bench_engine_find (engine, name);
      struct bench_copy *adapter = NULL;
      unsigned busy = bench_engine_running (engine);

      if (copy == NULL || !copy->reported_loaded)
        continue;
      *loaded = true;
      if (call->adapter >= 0)
        {
          adapter = bench_engine_find (engine, target_name (sim, call));
          if (adapter == NULL || !adapter->reported_loaded)
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
trace_slow (const struct sim *sim, const struct queued_call *queued, double s)
{
  const struct bench_call *call = &queued->call;

  if (sim->run->trace_s > 0.0 && s > sim->run->trace_s)
    printf ("%10.2f slow m%02u %s arrival %.2f took %.2f cold_start %.2f"
            " from_store %d\n",
            sim->now_s, call->model, target_name (sim, call), call->arrival_s,
            s, queued->cold_start_s, queued->from_store);
}

static void
record_start (struct sim *sim, const struct queued_call *queued)
{
  struct bench_cold_call cold;

  if (queued->cold_start_s < 0.0
      || queued->call.arrival_s < sim->measured_from_s)
    return;
  cold.arrival_s = queued->call.arrival_s;
  cold.first_token_s = sim->now_s + PREFILL_S - queued->call.arrival_s;
  cold.cold_start_s = queued->cold_start_s;
  cold.model = queued->call.model;
  cold.from_store = queued->from_store;
  trace_slow (sim, queued, cold.first_token_s);
  g_array_append_val (sim->result->cold, cold);
}

static bool
try_start (struct sim *sim, const struct queued_call *queued)
{
  bool loaded;
  struct bench_engine *engine = pick_engine (sim, &queued->call, &loaded);
  const char *name = sim->doc.models[queued->call.model].name;
  struct running_call running;

  if (engine == NULL)
    return false;
  running.engine = engine;
  running.copy = bench_engine_find (engine, name);
  running.copy->active++;
  running.end_s = sim->now_s + PREFILL_S + queued->call.service_s;
  running.queued = *queued;
  g_array_append_val (sim->running, running);
  record_start (sim, queued);
  return true;
}

static bool
is_on_disk (const struct sim *sim, unsigned model)
{
  char *key = g_strdup_printf ("%s@1", sim->doc.models[model].name);
  bool found = false;

  for (unsigned i = 0; i < sim->engine_count; i++)
    found = found || bench_engine_on_disk (&sim->engines[i], key);
  g_free (key);
  return found;
}

static void
on_arrival (struct sim *sim, const struct bench_call *call)
{
  struct queued_call queued = { *call, -1.0, false };
  bool loaded;

  if (is_measured (sim))
    sim->result->calls++;
  place_request_arrived (cell_for_model (sim, call->model),
                         target_name (sim, call), 1, bench_time (sim->now_s));
  (void)pick_engine (sim, call, &loaded);
  if (!loaded)
    {
      if (sim->cold_start_s[call->model] < 0.0)
        {
          sim->cold_start_s[call->model] = call->arrival_s;
          sim->cold_start_from_store[call->model]
              = !is_on_disk (sim, call->model);
        }
      queued.cold_start_s = sim->cold_start_s[call->model];
      queued.from_store = sim->cold_start_from_store[call->model];
    }
  else
    sim->cold_start_s[call->model] = -1.0;
  if (!try_start (sim, &queued))
    g_array_append_val (sim->waiting, queued);
}

static void
send_waiting_count (struct sim *sim, unsigned node,
                    const struct bench_call *call, unsigned count,
                    double deadline_s)
{
  const char *target = target_name (sim, call);
  char name[8];

  g_snprintf (name, sizeof name, "n%u", node);
  place_set_waiting (cell_for_model (sim, call->model), name, target, count,
                     bench_time (deadline_s), 5, bench_time (sim->now_s),
                     &sim->out);
  execute_actions (sim);
}

struct waiting_count
{
  struct bench_call call; /* the one with the earliest deadline */
  unsigned current;
  unsigned reported; /* the count that struct place has */
};

/* Reports the waiting counts that changed since the last step.  */
static void
report_waiting (struct sim *sim)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < sim->waiting->len; i++)
    {
      struct queued_call *queued
          = &g_array_index (sim->waiting, struct queued_call, i);
      char *key = g_strdup_printf ("%u %s", queued->call.node,
                                   target_name (sim, &queued->call));
      struct waiting_count *waiting
          = g_hash_table_lookup (sim->waiting_counts, key);

      if (waiting == NULL)
        {
          waiting = g_new0 (struct waiting_count, 1);
          g_hash_table_insert (sim->waiting_counts, g_strdup (key), waiting);
        }
      if (waiting->current++ == 0)
        waiting->call = queued->call;
      g_free (key);
    }
  g_hash_table_iter_init (&iter, sim->waiting_counts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct waiting_count *waiting = value;

      if (waiting->current != waiting->reported)
        send_waiting_count (sim, waiting->call.node, &waiting->call,
                            waiting->current, waiting->call.deadline_s);
      waiting->reported = waiting->current;
      waiting->current = 0;
      if (waiting->reported == 0)
        g_hash_table_iter_remove (&iter);
    }
}

static void
dispatch_waiting (struct sim *sim)
{
  guint kept = 0;

  for (guint i = 0; i < sim->waiting->len; i++)
    {
      struct queued_call queued
          = g_array_index (sim->waiting, struct queued_call, i);

      if (try_start (sim, &queued))
        continue;
      if (sim->now_s >= queued.call.deadline_s)
        {
          if (queued.call.arrival_s >= sim->measured_from_s)
            {
              sim->result->refused++;
              trace_slow (sim, &queued, sim->now_s - queued.call.arrival_s);
            }
          continue;
        }
      g_array_index (sim->waiting, struct queued_call, kept++) = queued;
    }
  g_array_set_size (sim->waiting, kept);
}

static void
finish_running (struct sim *sim)
{
  for (guint i = 0; i < sim->running->len;)
    {
      struct running_call *running
          = &g_array_index (sim->running, struct running_call, i);

      if (running->end_s > sim->now_s)
        {
          i++;
          continue;
        }
      running->copy->active--;
      running->copy->last_used_s = sim->now_s;
      g_array_remove_index_fast (sim->running, i);
    }
}

static void
count_idle (struct sim *sim, double dt)
{
  if (!is_measured (sim))
    return;
  for (unsigned i = 0; i < sim->engine_count; i++)
    {
      struct bench_engine *engine = &sim->engines[i];

      for (guint j = 0; j < engine->copies->len; j++)
        {
          struct bench_copy *copy = g_ptr_array_index (engine->copies, j);

          if (copy->model >= 0 && copy->stage == BENCH_LOADED
              && copy->active == 0)
            sim->result->idle_h += dt / 3600.0 * ENGINE_ACCELERATORS
                                   * (copy->mb + KV_RESERVE_MB) / ENGINE_MB;
        }
    }
}

/* Crashes ENGINE and queues its running calls again; their restart does not
   count as a cold call.  */
static void
crash_engine (struct sim *sim, struct bench_engine *engine)
{
  for (guint i = 0; i < sim->running->len;)
    {
      struct running_call *running
          = &g_array_index (sim->running, struct running_call, i);

      if (running->engine == engine)
        {
          running->queued.cold_start_s = -1.0;
          g_array_append_val (sim->waiting, running->queued);
          g_array_remove_index_fast (sim->running, i);
        }
      else
        i++;
    }
  bench_engine_crash (engine, &sim->store);
}

/* Crashes faulty engine I once each day during working hours, and restores it
   after OUTAGE_S.  */
static void
update_engine_fault (struct sim *sim, unsigned i)
{
  const struct bench_user *user = sim->run->user;
  struct bench_engine *engine = &sim->engines[i * 5];
  double day_s = fmod (sim->now_s, DAY_S);
  double failure_s = (user->open_h + 2.0 + 3.0 * i) * 3600.0;
  bool down = day_s >= failure_s && day_s < failure_s + OUTAGE_S;
  bool dropped = down && day_s >= failure_s + DETECTION_S;
  struct place *place = sim->cells[engine->pool];
  unsigned bit = 1u << i;

  if (down && engine->up)
    crash_engine (sim, engine);
  if (dropped && (sim->dropped_engines & bit) == 0)
    {
      place_engine_gone (place, engine->id, bench_time (sim->now_s),
                         &sim->out);
      sim->dropped_engines |= bit;
    }
  if (!down && !engine->up)
    {
      engine->up = true;
      sim->dropped_engines &= ~bit;
      place_engine_seen (place, engine->id, "", engine->zone, false,
                         bench_time (sim->now_s), &sim->out);
    }
}

static bool
advance_engines (struct sim *sim, double dt)
{
  bool busy = false;

  for (unsigned i = 0; i < sim->engine_count; i++)
    {
      struct bench_engine *engine = &sim->engines[i];
      bool loading
          = bench_engine_advance (engine, &sim->store, sim->now_s, dt);

      busy = busy || loading;
      if (!engine->up || sim->now_s < engine->next_report_s)
        continue;
      engine->next_report_s
          = sim->now_s
            + (loading ? REPORT_INTERVAL_BUSY_S : REPORT_INTERVAL_IDLE_S);
      bench_engine_report (engine, sim->cells[engine->pool],
                           bench_time (sim->now_s), &sim->out);
      execute_actions (sim);
    }
  return busy;
}

static void
tick_cells (struct sim *sim)
{
  struct timespec now = bench_time (sim->now_s);

  for (unsigned i = 0; i < BENCH_POOLS; i++)
    if (!ts_before (now, place_next (sim->cells[i], now)))
      place_tick (sim->cells[i], now, &sim->out);
  execute_actions (sim);
}

static double
next_step (const struct sim *sim, bool busy, double next_call_s)
{
  double step = busy || sim->waiting->len > 0 ? STEP_BUSY_S : STEP_IDLE_S;

  if (next_call_s - sim->now_s < step)
    step = fmax (next_call_s - sim->now_s, 0.001);
  return step;
}

static void
run_day (struct sim *sim, unsigned day)
{
  GArray *calls = bench_day_calls (sim->run->user, sim->run->seed, day);
  double end_s = (day + 1) * DAY_S;
  double dt = 0.0;
  guint next = 0;

  while (sim->now_s < end_s)
    {
      double next_s = end_s;
      bool busy;

      if (sim->run->fault & BENCH_FAULT_ENGINES)
        for (unsigned i = 0; i < FAULTY_ENGINES; i++)
          update_engine_fault (sim, i);
      finish_running (sim);
      busy = advance_engines (sim, dt);
      for (; next < calls->len; next++)
        {
          struct bench_call *call
              = &g_array_index (calls, struct bench_call, next);

          if (call->arrival_s > sim->now_s)
            break;
          on_arrival (sim, call);
        }
      dispatch_waiting (sim);
      report_waiting (sim);
      tick_cells (sim);
      if (next < calls->len)
        next_s = g_array_index (calls, struct bench_call, next).arrival_s;
      dt = next_step (sim, busy, next_s);
      count_idle (sim, dt);
      sim->now_s += dt;
    }
  g_array_free (calls, TRUE);
}

static void
init_store (struct sim *sim)
{
  const struct bench_user *user = sim->run->user;
  double factor
      = sim->run->fault & BENCH_FAULT_STORE ? STORE_FAULT_FACTOR : 1.0;

  sim->store.loads_per_s = user->loads_per_s * factor;
  sim->store.full_speed_fetches = user->loads_at_once;
  sim->store.speed_factor = factor;
}

void
bench_simulate (const struct bench_run *run, struct bench_result *result)
{
  struct sim sim = { 0 };
  GRand *rand = g_rand_new_with_seed (run->seed + 77);

  memset (result, 0, sizeof *result);
  result->cold = g_array_new (FALSE, FALSE, sizeof (struct bench_cold_call));
  sim.run = run;
  sim.result = result;
  sim.measured_from_s = (run->days - 1) * DAY_S;
  sim.waiting = g_array_new (FALSE, FALSE, sizeof (struct queued_call));
  sim.running = g_array_new (FALSE, FALSE, sizeof (struct running_call));
  sim.waiting_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  action_list_init (&sim.out);
  for (unsigned i = 0; i < BENCH_MODELS; i++)
    sim.cold_start_s[i] = -1.0;
  sim.engine_count = run->user->engines[0] + run->user->engines[1];
  sim.engines = bench_setup_engines (run->user, rand);
  bench_setup_doc (run, &sim.doc);
  bench_setup_cells (run, &sim.doc, sim.engines, sim.cells, &sim.out);
  init_store (&sim);
  for (unsigned day = 0; day < run->days; day++)
    run_day (&sim, day);
  for (unsigned i = 0; i < BENCH_POOLS; i++)
    place_free (sim.cells[i]);
  for (unsigned i = 0; i < sim.engine_count; i++)
    bench_engine_clear (&sim.engines[i]);
  action_list_clear (&sim.out);
  g_free (sim.engines);
  g_array_free (sim.waiting, TRUE);
  g_array_free (sim.running, TRUE);
  g_hash_table_unref (sim.waiting_counts);
  bench_setup_doc_clear (&sim.doc);
  g_rand_free (rand);
}
