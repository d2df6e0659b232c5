#include "engine.h"

#include <string.h>
#include "ts.h"

static json_t *
copies_to_json (const struct engine_role *role, bool adapters)
{
  json_t *list = json_array ();
  const struct copy *copy;
  json_t *item;

  CK_LIST_FOREACH (copy, &role->copies, link)
    {
      if ((copy->model != NULL) != adapters)
        continue;
      item = json_pack (
          "{s:s,s:s,s:s,s:I,s:i}", adapters ? "adapter" : "model", copy->name,
          "version", copy->version, "state",
          copy->state == COPY_LOADED ? "loaded" : "loading", "memory_mb",
          (json_int_t)copy->memory_mb, "active", (int)copy->active);
      if (adapters)
        json_object_set_new (item, "model", json_string (copy->model));
      json_array_append_new (list, item);
    }
  return list;
}

static json_t *
locations_to_json (const struct engine_role *role)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, role->locations);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    json_array_append_new (list, json_string (key));
  return list;
}

static json_t *
settled_to_json (const struct engine_role *role)
{
  json_t *list = json_array ();

  for (const GList *node = role->settled->head; node != NULL;
       node = node->next)
    json_array_append_new (list, json_string (node->data));
  return list;
}

static json_t *
cache_events_to_json (const struct engine_role *role)
{
  json_t *list = json_array ();

  for (const GList *node = role->cache_events->head; node != NULL;
       node = node->next)
    json_array_append (list, node->data);
  return list;
}

static json_t *
report_to_json (struct engine_role *role)
{
  const struct role_engine_options *o = &role->options;
  json_t *report = json_pack (
      "{s:s,s:I,s:I,s:I,s:b,s:s,s:I,s:I,s:I,s:I,s:i,s:i,s:I}", "engine", o->id,
      "epoch", (json_int_t)role->epoch, "seq", (json_int_t)++role->seq,
      "fence", (json_int_t)role->fence, "leaving", role->leaving, "role",
      role->working_role, "memory_mb", (json_int_t)o->memory_mb,
      "memory_used_mb", (json_int_t)engine_memory_used_mb (role),
      "accelerators", (json_int_t)o->accelerators, "slots",
      (json_int_t)o->slots, "running", (int)role->running, "queued",
      (int)g_queue_get_length (role->queue), "violations",
      (json_int_t)role->violations);

  json_object_set_new (report, "models", copies_to_json (role, false));
  json_object_set_new (report, "adapters", copies_to_json (role, true));
  json_object_set_new (report, "on_disk", locations_to_json (role));
  json_object_set_new (report, "settled", settled_to_json (role));
  json_object_set_new (report, "cache_events", cache_events_to_json (role));
  return report;
}

static void
take_snapshot (struct engine_role *role)
{
  json_decref (role->snapshot);
  role->snapshot = report_to_json (role);
  role->snapshot_at = loop_now (role->standin.loop);
}

void
engine_snapshot_timer_fire (struct loop_timer *timer)
{
  struct engine_role *role
      = (struct engine_role *)((char *)timer
                               - offsetof (struct engine_role,
                                           snapshot_timer));

  take_snapshot (role);
  loop_timer_set (role->standin.loop, timer,
                  ts_add_ms (role->snapshot_at, role->options.report_lag_ms));
}

json_t *
engine_report (struct engine_role *role)
{
  struct timespec age;

  if (role->options.report_lag_ms == 0)
    take_snapshot (role);
  age = ts_sub (loop_now (role->standin.loop), role->snapshot_at);
  json_object_set_new (role->snapshot, "age_ms",
                       json_integer (ts_to_ms (age)));
  return json_incref (role->snapshot);
}
