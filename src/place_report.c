#include "place_state.h"

#include <string.h>
#include "ts.h"

/* The retry after a first failure is immediate.  After N more consecutive
   failures it is delayed by RETRY_BASE_MS * 2^N, N at most RETRY_MAX_SHIFT. */
#define RETRY_BASE_MS 250
#define RETRY_MAX_SHIFT 6

/* The load of COPY failed: the next attempt prefers another engine.  */
static void
load_failed (struct place *place, struct place_copy *copy, struct timespec now)
{
  struct place_target *target = copy->target;
  unsigned shift = MIN (target->failures, RETRY_MAX_SHIFT);

  target->avoid = copy->engine;
  target->retry_at = target->failures > 0
                         ? ts_add_ms (now, (int64_t)RETRY_BASE_MS << shift)
                         : now;
  target->failures++;
  place_copy_free (place, copy);
}

static bool
is_load (const struct place_order *order)
{
  return order->type == BACKEND_LOAD || order->type == BACKEND_ADAPTER_LOAD;
}

void
place_order_settled (struct place *place, const char *order_id, bool ok,
                     const char *why, struct timespec now,
                     struct action_list *out)
{
  struct place_order *order = g_hash_table_lookup (place->unsettled, order_id);

  (void)why;
  if (order == NULL)
    return;
  if (ok)
    {
      order->accepted = true;
      order->accepted_at = now;
      return;
    }
  if (is_load (order))
    load_failed (place, order->copy, now);
  else
    {
      struct place_copy *copy = order->copy;

      place_order_finish (place, order, false);
      place_copy_set_state (copy, BACKEND_COPY_LOADED);
      copy->used_at = now;
    }
  place_plan (place, now, out);
}

static void
apply_disk (struct place_engine *engine, const struct backend_report *report)
{
  g_hash_table_remove_all (engine->disk);
  for (size_t i = 0; i < report->on_disk_count; i++)
    g_hash_table_add (engine->disk, g_strdup (report->on_disk[i]));
}

static void
apply_unaccounted (struct place_engine *engine,
                   const struct backend_report *report)
{
  uint64_t known = 0;

  for (size_t i = 0; i < report->model_count; i++)
    known += report->models[i].memory_mb;
  for (size_t i = 0; i < report->adapter_count; i++)
    known += report->adapters[i].memory_mb;
  engine->unaccounted_mb
      = report->memory_used_mb > known ? report->memory_used_mb - known : 0;
}

/* Whether a report of the state at STATE_AT shows the effect of all attempts
   to send ORDER.  An unacknowledged attempt may still be carried out later,
   even by an engine that has restarted since.  */
static bool
is_after_last_attempt (const struct place_order *order,
                       struct timespec state_at)
{
  return order->accepted && ts_before (order->accepted_at, state_at);
}

static void
load_completed (struct place *place, struct place_copy *copy,
                struct timespec state_at, struct timespec now)
{
  if (copy->order->needs_fetch)
    place_order_measure_fetch (place, copy->order, state_at);
  else
    place_order_measure_load (place, copy->order, state_at);
  place_copy_set_state (copy, BACKEND_COPY_LOADED);
  copy->used_at = now;
  copy->target->failures = 0;
  copy->target->avoid = NULL;
}

static void
apply_load (struct place *place, struct place_copy *copy,
            const struct backend_copy *reported, struct timespec state_at,
            struct timespec now)
{
  if (place_on_disk (copy->engine, copy->target))
    place_order_measure_fetch (place, copy->order, state_at);
  if (reported->state != BACKEND_COPY_LOADED)
    return;
  if (copy->state == BACKEND_COPY_LOADING)
    load_completed (place, copy, state_at, now);
  if (is_after_last_attempt (copy->order, state_at))
    place_order_finish (place, copy->order, true);
}

static bool
is_listed_as_settled (const struct backend_report *report,
                      const struct place_order *order)
{
  for (size_t i = 0; order != NULL && i < report->settled_count; i++)
    if (strcmp (report->settled[i], order->id) == 0)
      return true;
  return false;
}

static void
apply_copy (struct place *place, struct place_engine *engine,
            const struct backend_report *report,
            const struct backend_copy *reported, bool adapter,
            struct timespec state_at, struct timespec now)
{
  char *key = g_strdup_printf ("%s@%s", reported->model, reported->version);
  struct place_copy *copy = g_hash_table_lookup (engine->copies, key);

  g_free (key);
  if (copy == NULL)
    copy = place_copy_new (
        engine, place_target_get (place, reported->model, adapter),
        reported->version, reported->memory_mb, reported->state, now);
  copy->in_report = true;
  if (reported->active > 0 || copy->active > 0)
    copy->used_at = now;
  copy->active = reported->active;
  place_copy_raise_memory (copy, reported->memory_mb);
  if (copy->order == NULL)
    place_copy_set_state (copy, reported->state);
  else if (is_load (copy->order))
    apply_load (place, copy, reported, state_at, now);
  else if (is_listed_as_settled (report, copy->order))
    {
      place_order_finish (place, copy->order, false);
      place_copy_set_state (copy, reported->state);
    }
}

/* Updates the copies on ENGINE that the report, made at STATE_AT, does not
   list.  */
static void
apply_missing (struct place *place, struct place_engine *engine,
               struct timespec state_at, struct timespec now)
{
  struct place_copy *copy;
  struct place_copy *next;

  CK_LIST_FOREACH_SAFE (copy, &engine->list, engine_link, next)
    {
      bool load = copy->order != NULL && is_load (copy->order);

      if (copy->in_report)
        copy->in_report = false;
      else if (!load)
        place_copy_free (place, copy);
      else if (is_after_last_attempt (copy->order, state_at))
        load_failed (place, copy, now);
      else
        place_copy_set_state (copy, BACKEND_COPY_LOADING);
    }
}

static void
apply_engine_state (struct place_engine *engine,
                    const struct backend_report *report,
                    struct timespec state_at)
{
  engine->reported = true;
  engine->epoch = report->epoch;
  engine->seq = report->seq;
  engine->state_at = state_at;
  engine->memory_mb = report->memory_mb;
  engine->accelerators = report->accelerators;
  engine->slots = report->slots;
  engine->running = report->running;
  engine->queued = report->queued;
  engine->leaving = engine->listed_leaving || report->leaving;
}

static bool
is_newer (const struct place_engine *engine,
          const struct backend_report *report, struct timespec state_at)
{
  if (!engine->reported)
    return true;
  if (engine->epoch != report->epoch)
    return ts_before (engine->state_at, state_at);
  return report->seq > engine->seq;
}

void
place_report (struct place *place, const struct backend_report *report,
              struct timespec asked, struct timespec now,
              struct action_list *out)
{
  struct place_engine *engine
      = g_hash_table_lookup (place->engines, report->engine);
  struct timespec state_at = ts_add_ms (asked, -report->age_ms);

  if (engine == NULL || ts_before (state_at, place->started_at)
      || !is_newer (engine, report, state_at))
    return;
  if (!engine->reported)
    place->unreported_engines--;
  apply_engine_state (engine, report, state_at);
  apply_disk (engine, report);
  apply_unaccounted (engine, report);
  for (size_t i = 0; i < report->model_count; i++)
    apply_copy (place, engine, report, &report->models[i], false, state_at,
                now);
  for (size_t i = 0; i < report->adapter_count; i++)
    apply_copy (place, engine, report, &report->adapters[i], true, state_at,
                now);
  apply_missing (place, engine, state_at, now);
  place_plan (place, now, out);
}
