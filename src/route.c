#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <ck_epoch.h>
#include <ck_pr.h>
#include <glib.h>
#include "doc.h"
#include "hb.h"

/* A replaced table that readers may still use.  */
struct retired
{
  ck_epoch_entry_t entry;
  struct route_table *table;
};

struct route
{
  ck_epoch_t epoch;
  ck_epoch_record_t *writer;
  struct route_table *current;
};

struct route_reader
{
  struct route *route;
  ck_epoch_record_t *record;
  struct route_table *table; /* last one read */
};

struct route *
route_new (void)
{
  struct route *route = g_aligned_alloc0 (1, sizeof *route, CK_MD_CACHELINE);

  ck_epoch_init (&route->epoch);
  route->writer = g_aligned_alloc0 (1, sizeof *route->writer, CK_MD_CACHELINE);
  ck_epoch_register (&route->epoch, route->writer, NULL);
  route->current = route_table_new ();
  return route;
}

static void
free_retired (ck_epoch_entry_t *entry)
{
  struct retired *retired
      = (struct retired *)((char *)entry - offsetof (struct retired, entry));

  HB_ACQUIRE (retired->table);
  route_table_free (retired->table);
  g_free (retired);
}

/* Called when no readers are left.  The records are linked with each other in
   the epoch, so all are collected before any is freed.  */
void
route_free (struct route *route)
{
  ck_epoch_record_t *record;
  GPtrArray *records;

  if (route == NULL)
    return;
  ck_epoch_barrier (route->writer);
  route_table_free (route->current);
  ck_epoch_unregister (route->writer);
  records = g_ptr_array_new_with_free_func (g_aligned_free);
  while ((record = ck_epoch_recycle (&route->epoch, NULL)) != NULL)
    g_ptr_array_add (records, record);
  g_ptr_array_unref (records);
  g_aligned_free (route);
}

void
route_publish (struct route *route, struct route_table *table)
{
  struct retired *retired = g_new0 (struct retired, 1);

  retired->table = route->current;
  HB_RELEASE (table);
  ck_pr_fence_store ();
  ck_pr_store_ptr (&route->current, table);
  ck_epoch_call (route->writer, &retired->entry, free_retired);
  ck_epoch_poll (route->writer);
}

void
route_reclaim (struct route *route)
{
  ck_epoch_poll (route->writer);
}

struct route_reader *
route_reader_new (struct route *route)
{
  struct route_reader *reader = g_new0 (struct route_reader, 1);

  reader->route = route;
  reader->record = ck_epoch_recycle (&route->epoch, NULL);
  if (reader->record == NULL)
    {
      reader->record
          = g_aligned_alloc0 (1, sizeof *reader->record, CK_MD_CACHELINE);
      ck_epoch_register (&route->epoch, reader->record, NULL);
    }
  return reader;
}

/* The record stays in the epoch: Concurrency Kit can reuse it, but not remove
   it.  */
void
route_reader_free (struct route_reader *reader)
{
  if (reader == NULL)
    return;
  ck_epoch_unregister (reader->record);
  g_free (reader);
}

void
route_reader_begin (struct route_reader *reader)
{
  ck_epoch_begin (reader->record, NULL);
}

const struct route_table *
route_read (struct route_reader *reader)
{
  struct route_table *table = ck_pr_load_ptr (&reader->route->current);

  HB_ACQUIRE (table);
  reader->table = table;
  return table;
}

void
route_reader_end (struct route_reader *reader)
{
  HB_RELEASE (reader->table);
  ck_epoch_end (reader->record, NULL);
}

struct route_table *
route_table_new (void)
{
  return g_new0 (struct route_table, 1);
}

static void
free_replicas (struct route_replica *replicas, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      route_engine_unref (replicas[i].engine);
      g_free (replicas[i].version);
    }
  g_free (replicas);
}

static void
free_targets (struct route_table *table)
{
  for (size_t i = 0; i < table->target_count; i++)
    {
      struct route_target *target = &table->targets[i];

      free_replicas (target->replicas, target->replica_count);
      g_free (target->name);
      g_free (target->model);
      g_free (target->adapter);
      g_free (target->version);
      g_free (target->team);
    }
  g_free (table->targets);
}

static void
free_services (struct route_table *table)
{
  for (size_t i = 0; i < table->service_count; i++)
    {
      struct route_service *service = &table->services[i];

      free_replicas (service->replicas, service->replica_count);
      g_free (service->name);
      g_free (service->team);
    }
  g_free (table->services);
}

void
route_nodes_free (struct route_node *nodes, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      g_free (nodes[i].id);
      g_free (nodes[i].address);
      g_free (nodes[i].zone);
      g_free (nodes[i].region);
    }
  g_free (nodes);
}

void
route_table_free (struct route_table *table)
{
  if (table == NULL)
    return;
  free_targets (table);
  free_services (table);
  route_nodes_free (table->nodes, table->node_count);
  doc_unref (table->doc);
  g_free (table);
}

static int
compare_target (const void *key, const void *element)
{
  return strcmp (key, ((const struct route_target *)element)->name);
}

const struct route_target *
route_target (const struct route_table *table, const char *name)
{
  if (table->target_count == 0)
    return NULL;
  return bsearch (name, table->targets, table->target_count,
                  sizeof *table->targets, compare_target);
}

static int
compare_service (const void *key, const void *element)
{
  return strcmp (key, ((const struct route_service *)element)->name);
}

const struct route_service *
route_service (const struct route_table *table, const char *name)
{
  if (table->service_count == 0)
    return NULL;
  return bsearch (name, table->services, table->service_count,
                  sizeof *table->services, compare_service);
}

struct route_engine *
route_engine_new (const char *id, const char *address, const char *zone,
                  const char *pool)
{
  struct route_engine *engine = g_new0 (struct route_engine, 1);

  engine->id = g_strdup (id);
  engine->address = g_strdup (address);
  engine->zone = g_strdup (zone);
  engine->pool = g_strdup (pool);
  engine->refs = 1;
  return engine;
}

struct route_engine *
route_engine_ref (struct route_engine *engine)
{
  ck_pr_inc_uint (&engine->refs);
  return engine;
}

void
route_engine_unref (struct route_engine *engine)
{
  bool last;

  if (engine == NULL)
    return;
  HB_RELEASE (engine);
  ck_pr_dec_uint_zero (&engine->refs, &last);
  if (!last)
    return;
  HB_ACQUIRE (engine);
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine->zone);
  g_free (engine->pool);
  g_free (engine->software);
  g_free (engine);
}
