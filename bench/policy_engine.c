#include "policy_engine.h"

#include <string.h>

#define SETTLED_MAX 8
#define MEAN_CHECKPOINT_MB 16384u
#define DISK_CHECKPOINTS (ENGINE_DISK_MB / MEAN_CHECKPOINT_MB)

static void
free_copy (void *pointer)
{
  struct bench_copy *copy = pointer;

  g_free (copy->key);
  g_free (copy->name);
  g_free (copy->order_id);
  g_free (copy);
}

void
bench_engine_init (struct bench_engine *engine, unsigned pool, unsigned number,
                   const char *zone)
{
  memset (engine, 0, sizeof *engine);
  engine->id = g_strdup_printf ("p%u-e%u", pool, number);
  engine->zone = g_strdup (zone);
  engine->pool = pool;
  engine->up = true;
  engine->epoch = 1;
  engine->copies = g_ptr_array_new_with_free_func (free_copy);
  engine->disk = g_ptr_array_new_with_free_func (g_free);
  engine->settled = g_ptr_array_new_with_free_func (g_free);
}

void
bench_engine_clear (struct bench_engine *engine)
{
  g_ptr_array_free (engine->copies, TRUE);
  g_ptr_array_free (engine->disk, TRUE);
  g_ptr_array_free (engine->settled, TRUE);
  g_free (engine->id);
  g_free (engine->zone);
}

struct bench_copy *
bench_engine_find (const struct bench_engine *engine, const char *name)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      if (strcmp (copy->name, name) == 0)
        return copy;
    }
  return NULL;
}

static int
disk_index (const struct bench_engine *engine, const char *key)
{
  for (guint i = 0; i < engine->disk->len; i++)
    if (strcmp (g_ptr_array_index (engine->disk, i), key) == 0)
      return (int)i;
  return -1;
}

bool
bench_engine_on_disk (const struct bench_engine *engine, const char *key)
{
  return disk_index (engine, key) >= 0;
}

void
bench_engine_add_checkpoint (struct bench_engine *engine, const char *key)
{
  int i = disk_index (engine, key);

  if (i >= 0)
    g_ptr_array_remove_index (engine->disk, (guint)i);
  g_ptr_array_add (engine->disk, g_strdup (key));
  if (engine->disk->len > DISK_CHECKPOINTS)
    g_ptr_array_remove_index (engine->disk, 0);
}

static unsigned
used_mb (const struct bench_engine *engine)
{
  unsigned sum = 0;

  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      sum += copy->mb + (copy->model >= 0 ? KV_RESERVE_MB : 0);
    }
  return sum;
}

static void
add_settled (struct bench_engine *engine, const char *order_id)
{
  g_ptr_array_add (engine->settled, g_strdup (order_id));
  if (engine->settled->len > SETTLED_MAX)
    g_ptr_array_remove_index (engine->settled, 0);
}

static bool
unload (struct bench_engine *engine, const char *name, const char *order_id)
{
  struct bench_copy *copy = bench_engine_find (engine, name);

  if (copy == NULL || copy->active > 0)
    return false;
  add_settled (engine, order_id);
  g_ptr_array_remove (engine->copies, copy);
  engine->next_report_s = 0.0;
  return true;
}

bool
bench_engine_execute (struct bench_engine *engine,
                      const struct backend_order *order, int model)
{
  const char *name = order->adapter ? order->adapter : order->model;
  struct bench_copy *copy;
  unsigned mb = (unsigned)order->memory_mb;

  if (!engine->up)
    return false;
  if (order->type == BACKEND_UNLOAD || order->type == BACKEND_ADAPTER_UNLOAD)
    return unload (engine, name, order->order_id);
  if (bench_engine_find (engine, name) != NULL)
    return true;
  if (used_mb (engine) + mb + (model >= 0 ? KV_RESERVE_MB : 0) > ENGINE_MB)
    g_error ("%s: memory overcommitted by %s", engine->id, order->order_id);
  copy = g_new0 (struct bench_copy, 1);
  copy->name = g_strdup (name);
  copy->key = g_strdup_printf ("%s@%s", name, order->version);
  copy->order_id = g_strdup (order->order_id);
  copy->model = model;
  copy->mb = mb;
  copy->stage = model < 0 ? BENCH_STARTING : BENCH_QUEUED;
  copy->remaining = model < 0 ? ADAPTER_FETCH_S : 0.0;
  if (model >= 0 && bench_engine_on_disk (engine, copy->key))
    {
      copy->stage = BENCH_STARTING;
      copy->remaining = LOAD_FIXED_S;
    }
  g_ptr_array_add (engine->copies, copy);
  return true;
}

static double
fetch_mb_s (const struct bench_store *store)
{
  double full = FETCH_MB_S * store->speed_factor;

  if (store->in_flight <= store->full_speed_fetches)
    return full;
  return full * store->full_speed_fetches / store->in_flight;
}

static void
try_start_fetch (struct bench_copy *copy, struct bench_store *store,
                 double now_s)
{
  if (now_s < store->next_start_s)
    return;
  store->next_start_s
      = MAX (store->next_start_s, now_s - 1.0) + 1.0 / store->loads_per_s;
  store->in_flight++;
  copy->stage = BENCH_FETCHING;
  copy->remaining = copy->mb;
}

static void
advance_copy (struct bench_engine *engine, struct bench_copy *copy,
              struct bench_store *store, double load_mb_s, double now_s,
              double dt)
{
  switch (copy->stage)
    {
    case BENCH_QUEUED:
      try_start_fetch (copy, store, now_s);
      return;
    case BENCH_FETCHING:
      copy->remaining -= dt * fetch_mb_s (store);
      if (copy->remaining > 0.0)
        return;
      store->in_flight--;
      bench_engine_add_checkpoint (engine, copy->key);
      copy->stage = BENCH_STARTING;
      copy->remaining = LOAD_FIXED_S;
      return;
    case BENCH_STARTING:
      copy->remaining -= dt;
      if (copy->remaining > 0.0)
        return;
      copy->stage = copy->model < 0 ? BENCH_LOADED : BENCH_COPYING;
      copy->remaining = copy->mb;
      break;
    case BENCH_COPYING:
      copy->remaining -= dt * load_mb_s;
      if (copy->remaining <= 0.0)
        copy->stage = BENCH_LOADED;
      break;
    case BENCH_LOADED:
      return;
    }
  if (copy->stage != BENCH_LOADED)
    return;
  add_settled (engine, copy->order_id);
  copy->last_used_s = now_s;
  engine->next_report_s = 0.0;
}

bool
bench_engine_advance (struct bench_engine *engine, struct bench_store *store,
                      double now_s, double dt)
{
  unsigned copying = 0;
  bool busy = false;

  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      copying += copy->stage == BENCH_COPYING;
    }
  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      advance_copy (engine, copy, store, LOAD_MB_S / MAX (copying, 1u), now_s,
                    dt);
      busy = busy || copy->stage != BENCH_LOADED;
    }
  return busy;
}

void
bench_engine_crash (struct bench_engine *engine, struct bench_store *store)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      if (copy->stage == BENCH_FETCHING)
        store->in_flight--;
    }
  g_ptr_array_set_size (engine->copies, 0);
  g_ptr_array_set_size (engine->disk, 0);
  g_ptr_array_set_size (engine->settled, 0);
  engine->up = false;
  engine->epoch++;
  engine->seq = 0;
}

unsigned
bench_engine_running (const struct bench_engine *engine)
{
  unsigned sum = 0;

  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);

      sum += copy->model >= 0 ? copy->active : 0;
    }
  return sum;
}

static struct backend_copy
report_copy (struct bench_copy *copy, char **version)
{
  struct backend_copy out = { 0 };

  *version = strchr (copy->key, '@') + 1;
  out.model = copy->name;
  out.version = *version;
  out.state = copy->stage == BENCH_LOADED ? BACKEND_COPY_LOADED
                                          : BACKEND_COPY_LOADING;
  out.memory_mb = copy->mb;
  out.active = copy->active;
  copy->reported_loaded = copy->stage == BENCH_LOADED;
  return out;
}

void
bench_engine_report (struct bench_engine *engine, struct place *place,
                     struct timespec now, struct action_list *out)
{
  struct backend_report report = { 0 };
  GArray *models = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));
  GArray *adapters = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));

  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct bench_copy *copy = g_ptr_array_index (engine->copies, i);
      char *version;
      struct backend_copy state = report_copy (copy, &version);

      report.memory_used_mb += copy->mb;
      g_array_append_val (copy->model >= 0 ? models : adapters, state);
    }
  report.engine = engine->id;
  report.epoch = engine->epoch;
  report.seq = ++engine->seq;
  report.memory_mb = ENGINE_MB;
  report.accelerators = ENGINE_ACCELERATORS;
  report.slots = ENGINE_SLOTS;
  report.running = bench_engine_running (engine);
  report.models = (const struct backend_copy *)(void *)models->data;
  report.model_count = models->len;
  report.adapters = (const struct backend_copy *)(void *)adapters->data;
  report.adapter_count = adapters->len;
  report.on_disk = (const char *const *)engine->disk->pdata;
  report.on_disk_count = engine->disk->len;
  report.settled = (const char *const *)engine->settled->pdata;
  report.settled_count = engine->settled->len;
  place_report (place, &report, now, now, out);
  g_array_free (models, TRUE);
  g_array_free (adapters, TRUE);
}
