#include "fleet.h"

#include <string.h>
#include <ck_pr.h>
#include "core.h"
#include "log.h"
#include "msg.h"
#include "ts.h"

#define LIST_INTERVAL_MS 500         /* between polls of the instance list */
#define IDLE_REPORT_INTERVAL_MS 1000 /* of an idle engine */
#define REPORT_INTERVAL_MS 250       /* of a busy engine */
#define RELAYED_VALID_MS 2000        /* no polling after relayed state */
#define FAST_POLL_MS 2000            /* duration, after an order */
#define TICK_INTERVAL_MS 50
#define UNREACHABLE_AFTER_MISSES 4
#define DOWN_AFTER_REFUSALS 2 /* a faster restart shows in the epoch */

struct fleet
{
  struct service service;
  struct core *core;
  GHashTable *engines;
  struct loop_timer timer;
  struct timespec next_list_at; /* next poll of the list */
  bool list_pending;
};

struct report_request
{
  struct fleet *fleet;
  char *engine;
};

static void
copy_free (gpointer pointer)
{
  struct fleet_copy *copy = pointer;

  g_free (copy->version);
  g_free (copy);
}

static void
engine_free (gpointer pointer)
{
  struct fleet_engine *engine = pointer;

  route_engine_unref (engine->route);
  g_hash_table_unref (engine->models);
  g_hash_table_unref (engine->adapters);
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine->zone);
  g_free (engine->region);
  g_free (engine->pool);
  g_free (engine);
}

static struct fleet_engine *
engine_new (const struct platform_instance *instance)
{
  struct fleet_engine *engine = g_new0 (struct fleet_engine, 1);

  engine->id = g_strdup (instance->id);
  engine->address = g_strdup (instance->address);
  engine->zone = g_strdup (instance->zone);
  engine->region = g_strdup (instance->region);
  engine->pool = g_strdup (instance->pool);
  engine->route = route_engine_new (instance->id, instance->address,
                                    instance->zone, instance->pool);
  engine->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, copy_free);
  engine->adapters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, copy_free);
  return engine;
}

static struct fleet *
fleet_of_timer (struct loop_timer *timer)
{
  return (struct fleet *)((char *)timer - offsetof (struct fleet, timer));
}

bool
fleet_reachable (const struct fleet_engine *engine)
{
  return engine->reported && !engine->down
         && engine->misses < UNREACHABLE_AFTER_MISSES;
}

bool
fleet_leaving (const struct fleet_engine *engine)
{
  return engine->list_leaving || engine->report_leaving;
}

GHashTable *
fleet_engines (struct fleet *fleet)
{
  return fleet->engines;
}

struct fleet_engine *
fleet_engine (struct fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->engines, id);
}

static bool
same_copies (GHashTable *table, const struct backend_copy *copies,
             size_t count)
{
  if (g_hash_table_size (table) != count)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const struct fleet_copy *copy
          = g_hash_table_lookup (table, copies[i].model);

      if (copy == NULL || copy->state != copies[i].state
          || strcmp (copy->version, copies[i].version) != 0)
        return false;
    }
  return true;
}

/* Replaces the copies in TABLE; returns whether they have changed.  */
static bool
replace_copies (GHashTable *table, const struct backend_copy *copies,
                size_t count)
{
  bool same = same_copies (table, copies, count);

  g_hash_table_remove_all (table);
  for (size_t i = 0; i < count; i++)
    {
      struct fleet_copy *copy = g_new0 (struct fleet_copy, 1);

      copy->version = g_strdup (copies[i].version);
      copy->state = copies[i].state;
      copy->active = copies[i].active;
      g_hash_table_replace (table, g_strdup (copies[i].model), copy);
    }
  return !same;
}

static bool
is_stale (const struct fleet_engine *engine,
          const struct backend_report *report)
{
  if (!engine->reported)
    return false;
  return report->epoch < engine->epoch
         || (report->epoch == engine->epoch && report->seq <= engine->seq);
}

static bool
any_in_transition (const struct backend_copy *copies, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (copies[i].state != BACKEND_COPY_LOADED)
      return true;
  return false;
}

static bool
is_busy (const struct backend_report *report)
{
  return report->running > 0 || report->queued > 0
         || any_in_transition (report->models, report->model_count)
         || any_in_transition (report->adapters, report->adapter_count);
}

static void
copy_report_fields (struct fleet_engine *engine,
                    const struct backend_report *report)
{
  engine->epoch = report->epoch;
  engine->seq = report->seq;
  engine->report_leaving = report->leaving;
  engine->slots = report->slots;
  engine->running = report->running;
  engine->queued = report->queued;
  engine->accelerators = report->accelerators;
  engine->memory_mb = report->memory_mb;
  engine->memory_used_mb = report->memory_used_mb;
  engine->busy = is_busy (report);
}

static void
apply_report (struct fleet *fleet, const struct backend_report *report)
{
  struct fleet_engine *engine = fleet_engine (fleet, report->engine);
  struct timespec now = loop_now (fleet->core->loop);
  struct fleet_report posted = { .report = report };
  bool changed;

  if (engine == NULL || is_stale (engine, report))
    return;
  posted.requested_at = engine->report_requested_at;
  changed = !engine->reported || engine->report_leaving != report->leaving;
  copy_report_fields (engine, report);
  engine->reported = true;
  engine->reported_at = ts_add_ms (now, -report->age_ms);
  engine->inflight_at_report = ck_pr_load_uint (&engine->route->inflight);
  if (replace_copies (engine->models, report->models, report->model_count))
    changed = true;
  if (replace_copies (engine->adapters, report->adapters,
                      report->adapter_count))
    changed = true;
  kernel_post (fleet->core->kernel, KERNEL_ENGINE_REPORT, &posted);
  kernel_post (fleet->core->kernel,
               changed ? KERNEL_FLEET_CHANGED : KERNEL_LOAD_CHANGED, NULL);
}

/* Copies on one engine, taken from the relayed replicas.  */
struct relayed_copies
{
  GArray *models; /* struct backend_copy */
  GArray *adapters;
  const struct peer_replica *sample; /* one of them, which has the engine's
                                        load; NULL: none */
};

static void
collect_relayed (const struct fleet_engine *engine,
                 const struct peer_replica *const *replicas, size_t count,
                 struct relayed_copies *relayed)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct peer_replica *replica = replicas[i];
      bool adapter = replica->adapter != NULL;
      struct backend_copy copy
          = { .model = adapter ? replica->adapter : replica->model,
              .version = replica->version != NULL ? replica->version : "",
              .state = (enum backend_copy_state)replica->state };

      if (strcmp (replica->engine, engine->id) != 0)
        continue;
      relayed->sample = replica;
      g_array_append_val (adapter ? relayed->adapters : relayed->models, copy);
    }
}

static bool
apply_relayed_copies (struct fleet *fleet, struct fleet_engine *engine,
                      const struct relayed_copies *relayed)
{
  struct timespec now = loop_now (fleet->core->loop);
  bool changed = !engine->reported || engine->misses > 0;

  engine->reported = true;
  engine->misses = 0;
  engine->relayed_at = now;
  engine->inflight_at_report = ck_pr_load_uint (&engine->route->inflight);
  engine->reported_at = now;
  if (relayed->sample != NULL)
    {
      engine->slots = (unsigned)relayed->sample->slots;
      engine->running = (unsigned)relayed->sample->running;
      engine->queued = (unsigned)relayed->sample->queued;
      engine->report_leaving = relayed->sample->leaving;
      engine->reported_at = ts_add_ms (now, -(int64_t)relayed->sample->age_ms);
    }
  changed = replace_copies (engine->models,
                            (struct backend_copy *)relayed->models->data,
                            relayed->models->len)
            || changed;
  return replace_copies (engine->adapters,
                         (struct backend_copy *)relayed->adapters->data,
                         relayed->adapters->len)
         || changed;
}

void
fleet_apply_relayed (struct fleet *fleet, const char *pool,
                     const struct peer_replica *const *replicas, size_t count)
{
  struct fleet_engine *engine;
  GHashTableIter iter;
  bool changed = false;

  g_hash_table_iter_init (&iter, fleet->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      struct relayed_copies relayed = { 0 };

      if (strcmp (engine->pool, pool) != 0 || engine->down)
        continue;
      relayed.models = g_array_new (FALSE, TRUE, sizeof (struct backend_copy));
      relayed.adapters
          = g_array_new (FALSE, TRUE, sizeof (struct backend_copy));
      collect_relayed (engine, replicas, count, &relayed);
      changed = apply_relayed_copies (fleet, engine, &relayed) || changed;
      g_array_unref (relayed.models);
      g_array_unref (relayed.adapters);
    }
  kernel_post (fleet->core->kernel,
               changed ? KERNEL_FLEET_CHANGED : KERNEL_LOAD_CHANGED, NULL);
}

static void
handle_missed_report (struct fleet *fleet, struct fleet_engine *engine)
{
  struct log_line line;

  engine->misses++;
  if (!engine->reported || engine->misses != UNREACHABLE_AFTER_MISSES)
    return;
  log_begin (&line, EVENT_ENGINE_UNREACHABLE);
  log_str (&line, "engine", engine->id);
  log_str (&line, "address", engine->address);
  log_end (&line);
  kernel_post (fleet->core->kernel, KERNEL_FLEET_CHANGED, NULL);
}

static void
handle_refused_connection (struct fleet *fleet, struct fleet_engine *engine)
{
  struct log_line line;

  engine->refusals++;
  if (engine->down || engine->refusals < DOWN_AFTER_REFUSALS)
    return;
  engine->down = true;
  g_hash_table_remove_all (engine->models);
  g_hash_table_remove_all (engine->adapters);
  log_begin (&line, EVENT_ENGINE_DOWN);
  log_str (&line, "engine", engine->id);
  log_str (&line, "address", engine->address);
  log_end (&line);
  kernel_post (fleet->core->kernel, KERNEL_ENGINE_DOWN, engine);
  kernel_post (fleet->core->kernel, KERNEL_FLEET_CHANGED, NULL);
}

/* An engine that was down has been restarted: posts it as changed.  */
static void
handle_report (struct fleet *fleet, struct fleet_engine *engine,
               const struct backend_report *report)
{
  bool was_down = engine->down;

  engine->refusals = 0;
  engine->down = false;
  if (was_down)
    kernel_post (fleet->core->kernel, KERNEL_ENGINE_CHANGED, engine);
  if (was_down || engine->misses >= UNREACHABLE_AFTER_MISSES)
    kernel_post (fleet->core->kernel, KERNEL_FLEET_CHANGED, NULL);
  engine->misses = 0;
  apply_report (fleet, report);
}

static void
on_report (void *user, enum backend_status status,
           const struct backend_report *report)
{
  struct report_request *request = user;
  struct fleet_engine *engine = fleet_engine (request->fleet, request->engine);

  if (engine != NULL)
    engine->report_pending = false;
  if (engine != NULL && status == BACKEND_ACCEPTED)
    handle_report (request->fleet, engine, report);
  else if (engine != NULL)
    handle_missed_report (request->fleet, engine);
  if (engine != NULL && status == BACKEND_DOWN)
    handle_refused_connection (request->fleet, engine);
  g_free (request->engine);
  g_free (request);
}

static void
request_report (struct fleet *fleet, struct fleet_engine *engine)
{
  struct backend *backend = fleet->core->backend;
  struct report_request *request = g_new0 (struct report_request, 1);

  request->fleet = fleet;
  request->engine = g_strdup (engine->id);
  engine->report_pending = true;
  engine->report_requested_at = loop_now (fleet->core->loop);
  backend->ops->report (backend, engine->id, engine->address, on_report,
                        request);
}

static bool
polls_fast (const struct fleet_engine *engine, struct timespec now)
{
  return engine->busy || ts_before (now, engine->fast_poll_until);
}

static bool
report_due (const struct fleet *fleet, const struct fleet_engine *engine)
{
  struct timespec now = loop_now (fleet->core->loop);

  if (engine->report_pending || strcmp (engine->pool, FLEET_ENTRY_POOL) == 0)
    return false;
  if (engine->refusals > 0 && !engine->down)
    return true;
  if (!ts_is_zero (engine->relayed_at) && !engine->down
      && ts_before (now, ts_add_ms (engine->relayed_at, RELAYED_VALID_MS)))
    return false;
  return !ts_before (now, ts_add_ms (engine->report_requested_at,
                                     polls_fast (engine, now)
                                         ? REPORT_INTERVAL_MS
                                         : IDLE_REPORT_INTERVAL_MS));
}

static void
poll_due_engines (struct fleet *fleet)
{
  struct fleet_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, fleet->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (report_due (fleet, engine))
      request_report (fleet, engine);
}

void
fleet_request_report (struct fleet *fleet, const char *id)
{
  struct fleet_engine *engine = fleet_engine (fleet, id);

  if (engine != NULL)
    engine->fast_poll_until
        = ts_add_ms (loop_now (fleet->core->loop), FAST_POLL_MS);
  if (engine != NULL && !engine->report_pending)
    request_report (fleet, engine);
}

/* An instance that is listed with another address is a new instance.  */
static bool
apply_instance (struct fleet *fleet, const struct platform_instance *instance)
{
  struct fleet_engine *engine = fleet_engine (fleet, instance->id);
  bool changed;

  if (engine != NULL && strcmp (engine->address, instance->address) != 0)
    {
      kernel_post (fleet->core->kernel, KERNEL_ENGINE_REMOVED, engine);
      g_hash_table_remove (fleet->engines, instance->id);
      engine = NULL;
    }
  changed = engine == NULL;
  if (engine == NULL)
    {
      engine = engine_new (instance);
      g_hash_table_replace (fleet->engines, engine->id, engine);
    }
  changed = changed || engine->list_leaving != instance->leaving;
  engine->listed = true;
  engine->list_leaving = instance->leaving;
  if (changed)
    kernel_post (fleet->core->kernel, KERNEL_ENGINE_CHANGED, engine);
  return changed;
}

static bool
remove_unlisted (struct fleet *fleet)
{
  struct fleet_engine *engine;
  GHashTableIter iter;
  bool changed = false;

  g_hash_table_iter_init (&iter, fleet->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (!engine->listed)
      {
        ck_pr_store_uint (&engine->route->gone, 1);
        kernel_post (fleet->core->kernel, KERNEL_ENGINE_REMOVED, engine);
        g_hash_table_iter_remove (&iter);
        changed = true;
      }
  return changed;
}

static void
apply_list (struct fleet *fleet, const struct platform_instances *list)
{
  struct fleet_engine *engine;
  GHashTableIter iter;
  bool changed = false;

  g_hash_table_iter_init (&iter, fleet->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    engine->listed = false;
  for (size_t i = 0; i < list->count; i++)
    changed = apply_instance (fleet, &list->instances[i]) || changed;
  changed = remove_unlisted (fleet) || changed;
  if (changed)
    kernel_post (fleet->core->kernel, KERNEL_FLEET_CHANGED, NULL);
}

static void
on_list (void *user, enum platform_status status,
         const struct platform_instances *list)
{
  struct fleet *fleet = user;

  fleet->list_pending = false;
  fleet->next_list_at
      = ts_add_ms (loop_now (fleet->core->loop), LIST_INTERVAL_MS);
  if (status != PLATFORM_OK)
    return;
  apply_list (fleet, list);
  kernel_post (fleet->core->kernel, KERNEL_INSTANCES, list);
}

static void
poll_list (struct fleet *fleet)
{
  struct platform *platform = fleet->core->platform;
  struct platform_instances_cb cb = { .done = on_list, .user = fleet };

  if (fleet->list_pending
      || ts_before (loop_now (fleet->core->loop), fleet->next_list_at))
    return;
  fleet->list_pending = true;
  platform->ops->instances (platform, cb);
}

static void
tick (struct loop_timer *timer)
{
  struct fleet *fleet = fleet_of_timer (timer);
  struct loop *loop = fleet->core->loop;

  poll_list (fleet);
  poll_due_engines (fleet);
  loop_timer_set (loop, timer, ts_add_ms (loop_now (loop), TICK_INTERVAL_MS));
}

static int
fleet_start (struct service *service, struct kernel *kernel)
{
  struct fleet *fleet = (struct fleet *)service;

  fleet->core = core_find (kernel);
  fleet->timer.fire = tick;
  loop_timer_set (fleet->core->loop, &fleet->timer,
                  loop_now (fleet->core->loop));
  return 0;
}

static void
fleet_stop (struct service *service)
{
  struct fleet *fleet = (struct fleet *)service;

  loop_timer_clear (fleet->core->loop, &fleet->timer);
}

static const struct service_ops fleet_ops = { fleet_start, fleet_stop, NULL };

struct service *
fleet_new (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->service.ops = &fleet_ops;
  fleet->service.name = FLEET_NAME;
  fleet->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  return &fleet->service;
}

void
fleet_free (struct service *service)
{
  struct fleet *fleet = (struct fleet *)service;

  if (fleet == NULL)
    return;
  g_hash_table_unref (fleet->engines);
  g_free (fleet);
}

struct fleet *
fleet_find (struct kernel *kernel)
{
  return (struct fleet *)kernel_find (kernel, FLEET_NAME);
}
