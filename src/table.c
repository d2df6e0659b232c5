#include "table.h"

#include <stdlib.h>
#include <string.h>
#include "fleet.h"

#define DEFAULT_SERVICE_SLOTS 8 /* of a plain service that reports none */

struct build
{
  const struct table_input *input;
  GHashTable *by_model; /* name to GPtrArray of engines that have it loaded */
  GHashTable *by_pool;  /* name to GPtrArray of engines */
};

static void
index_add (GHashTable *index, const char *key,
           const struct fleet_engine *engine)
{
  GPtrArray *engines = g_hash_table_lookup (index, key);

  if (engines == NULL)
    {
      engines = g_ptr_array_new ();
      g_hash_table_insert (index, (gpointer)key, engines);
    }
  g_ptr_array_add (engines, (gpointer)engine);
}

static void
index_engine (struct build *build, const struct fleet_engine *engine)
{
  const struct fleet_copy *copy;
  GHashTableIter iter;
  const char *model;

  index_add (build->by_pool, engine->pool, engine);
  if (!fleet_reachable (engine))
    return;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, (gpointer *)&model, (gpointer *)&copy))
    if (copy->state == BACKEND_COPY_LOADED)
      index_add (build->by_model, model, engine);
}

static void
free_engines (gpointer engines)
{
  g_ptr_array_unref (engines);
}

static void
index_fleet (struct build *build)
{
  const struct fleet_engine *engine;
  GHashTableIter iter;

  build->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engines);
  build->by_pool
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engines);
  g_hash_table_iter_init (&iter, build->input->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    index_engine (build, engine);
}

static void
fill_replica (struct route_replica *replica, const struct fleet_engine *engine)
{
  replica->engine = route_engine_ref (engine->route);
  replica->slots = engine->slots;
  replica->running = engine->running;
  replica->queued = engine->queued;
  replica->inflight_at_report = engine->inflight_at_report;
  replica->reported_at = engine->reported_at;
  replica->leaving = fleet_leaving (engine);
}

static const char *
model_version (const struct fleet_engine *engine, const char *model)
{
  const struct fleet_copy *copy = g_hash_table_lookup (engine->models, model);

  return copy->version;
}

static bool
has_adapter (const struct fleet_engine *engine, const char *adapter)
{
  const struct fleet_copy *copy;

  if (adapter == NULL)
    return false;
  copy = g_hash_table_lookup (engine->adapters, adapter);
  return copy != NULL && copy->state == BACKEND_COPY_LOADED;
}

static void
collect_replicas (const struct build *build, struct route_target *target,
                  const struct doc_model *model, const char *version)
{
  const GPtrArray *engines
      = g_hash_table_lookup (build->by_model, target->model);

  target->replica_count = 0;
  if (engines == NULL)
    return;
  target->replicas = g_new0 (struct route_replica, engines->len);
  for (guint i = 0; i < engines->len; i++)
    {
      const struct fleet_engine *engine = g_ptr_array_index (engines, i);
      struct route_replica *replica;

      if (strcmp (engine->pool, model->pool) != 0
          || (version != NULL
              && strcmp (model_version (engine, target->model), version) != 0))
        continue;
      replica = &target->replicas[target->replica_count++];
      fill_replica (replica, engine);
      replica->version = g_strdup (model_version (engine, target->model));
      replica->adapter_loaded = has_adapter (engine, target->adapter);
    }
}

static bool
any_accepting (const struct route_target *target)
{
  for (size_t i = 0; i < target->replica_count; i++)
    if (!target->replicas[i].leaving)
      return true;
  return false;
}

/* Finds the replicas of TARGET: those of the document's version, or of any
   version while that one has none.  */
static void
find_replicas (const struct build *build, struct route_target *target,
               const struct doc_model *model)
{
  const struct table_input *input = build->input;

  collect_replicas (build, target, model, model->version);
  if (target->replica_count == 0)
    {
      g_free (target->replicas);
      target->replicas = NULL;
      collect_replicas (build, target, model, NULL);
    }
  if (any_accepting (target))
    target->state = ROUTE_READY;
  else if (input->loading (input->user, target->model, &target->ready_at))
    target->state = ROUTE_LOADING;
}

static void
fill_target (const struct build *build, struct route_target *target,
             const struct doc_model *model, const struct doc_adapter *adapter)
{
  const struct table_input *input = build->input;

  target->name = g_strdup (adapter != NULL ? adapter->name : model->name);
  target->model = g_strdup (model->name);
  target->adapter = adapter != NULL ? g_strdup (adapter->name) : NULL;
  target->version = g_strdup (model->version);
  target->team = g_strdup (adapter != NULL ? adapter->team : model->team);
  target->priority = adapter != NULL ? adapter->priority : model->priority;
  target->max_waiting = model->max_waiting;
  target->non_idempotent
      = model->non_idempotent || (adapter != NULL && adapter->non_idempotent);
  target->service_s = input->service_s (input->user, target->name);
  find_replicas (build, target, model);
}

static int
compare_targets (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct route_target *)a)->name,
                 ((const struct route_target *)b)->name);
}

static void
build_targets (const struct build *build, struct route_table *table)
{
  const struct doc *doc = build->input->doc;
  size_t n = 0;

  table->targets
      = g_new0 (struct route_target, doc->model_count + doc->adapter_count);
  for (size_t i = 0; i < doc->model_count; i++)
    fill_target (build, &table->targets[n++], &doc->models[i], NULL);
  for (size_t i = 0; i < doc->adapter_count; i++)
    {
      const struct doc_adapter *adapter = &doc->adapters[i];
      const struct doc_model *model = doc_model (doc, adapter->model);

      if (model != NULL)
        fill_target (build, &table->targets[n++], model, adapter);
    }
  table->target_count = n;
  qsort (table->targets, n, sizeof *table->targets, compare_targets);
}

static void
build_service (const struct build *build, const struct doc_service *doc,
               struct route_service *service)
{
  const GPtrArray *engines = g_hash_table_lookup (build->by_pool, doc->pool);

  service->name = g_strdup (doc->name);
  service->team = g_strdup (doc->team);
  service->priority = doc->priority;
  service->doc = doc;
  if (engines == NULL)
    return;
  service->replicas = g_new0 (struct route_replica, engines->len);
  service->replica_count = engines->len;
  for (guint i = 0; i < engines->len; i++)
    {
      struct route_replica *replica = &service->replicas[i];

      fill_replica (replica, g_ptr_array_index (engines, i));
      if (replica->slots == 0)
        replica->slots = DEFAULT_SERVICE_SLOTS;
    }
}

static void
build_services (const struct build *build, struct route_table *table)
{
  const struct doc *doc = build->input->doc;

  table->services = g_new0 (struct route_service, doc->service_count);
  table->service_count = doc->service_count;
  for (size_t i = 0; i < doc->service_count; i++)
    build_service (build, &doc->services[i], &table->services[i]);
}

void
table_build (const struct table_input *input, struct route_table *table)
{
  struct build build = { .input = input };

  index_fleet (&build);
  build_targets (&build, table);
  build_services (&build, table);
  g_hash_table_unref (build.by_model);
  g_hash_table_unref (build.by_pool);
}
