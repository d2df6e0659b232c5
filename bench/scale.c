#include "bench.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "clk.h"
#include "doc.h"
#include "fleet.h"
#include "lookup.h"
#include "route.h"
#include "replica_sync.h"
#include "table.h"
#include "ts.h"

#define SIZES 4
#define ITERATIONS 5
#define MODELS_PER_ENGINE 4
#define ADAPTERS_PER_ENGINE 16
#define CELL_ENGINES 64
#define KIB 1024.0

/* A size of the system; the last one is the size that it is designed for.  */
struct size
{
  unsigned models;
  unsigned adapters;
  unsigned engines;
  unsigned nodes;
};

static const struct size sizes[SIZES] = { { 39, 2400, 160, 40 },
                                          { 98, 6000, 400, 100 },
                                          { 195, 12000, 800, 200 },
                                          { 390, 24000, 1600, 400 } };

enum metric
{
  DOC_MS,
  DOC_KIB,
  TABLE_MS,
  TABLE_KIB,
  LOOKUP_US,
  REPLICA_SYNC_US,
  REPLICA_SYNC_BYTES,
  METRICS
};

static const char *const metric_names[METRICS]
    = { "doc_ms",    "doc_kib",        "table_ms",         "table_kib",
        "lookup_us", "cell_spread_us", "cell_spread_bytes" };

struct result
{
  double values[METRICS];
};

static double
heap_kib (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks / KIB;
}

static double
ms_since (struct timespec start)
{
  return ts_to_s (ts_sub (clk_now (clk_monotonic ()), start)) * 1000;
}

static char *
document_text (const struct size *size)
{
  GString *text = g_string_new ("{\"sections\":{\"team\":{\"cold_weight\":0.5,"
                                "\"pools\":{\"pool\":{\"kind\":\"engines\","
                                "\"checks_fence\":true}},\"models\":{");

  for (unsigned i = 0; i < size->models; i++)
    g_string_append_printf (text,
                            "%s\"m%u\":{\"pool\":\"pool\",\"version\":\"1\","
                            "\"memory_mb\":8000,\"max_replicas\":2}",
                            i > 0 ? "," : "", i);
  g_string_append (text, "},\"adapters\":{");
  for (unsigned i = 0; i < size->adapters; i++)
    g_string_append_printf (text,
                            "%s\"a%u\":{\"model\":\"m%u\",\"version\":\"1\","
                            "\"memory_mb\":64}",
                            i > 0 ? "," : "", i, i % size->models);
  g_string_append (text, "}}}}");
  return g_string_free (text, FALSE);
}

static struct doc *
measure_doc (const struct size *size, struct result *result)
{
  char *text = document_text (size);
  double before = heap_kib ();
  struct timespec start = clk_now (clk_monotonic ());
  struct findings findings;
  struct doc *doc = NULL;

  findings_init (&findings);
  if (doc_parse (text, strlen (text), 1, &doc, &findings) < 0)
    findings_print (&findings, "parsley-bench", stderr);
  findings_clear (&findings);
  result->values[DOC_MS] = ms_since (start);
  result->values[DOC_KIB] = heap_kib () - before;
  g_free (text);
  return doc;
}

static struct fleet_copy *
copy_new (void)
{
  struct fleet_copy *copy = g_new0 (struct fleet_copy, 1);

  copy->version = g_strdup ("1");
  copy->state = BACKEND_COPY_LOADED;
  return copy;
}

static struct fleet_engine *
engine_new (const struct size *size, unsigned number)
{
  struct fleet_engine *engine = g_new0 (struct fleet_engine, 1);

  engine->id = g_strdup_printf ("e%u", number);
  engine->address
      = g_strdup_printf ("10.0.%u.%u:80", number / 250, number % 250);
  engine->zone = "zone";
  engine->pool = "pool";
  engine->reported = true;
  engine->slots = 8;
  engine->route
      = route_engine_new (engine->id, engine->address, "zone", "pool");
  engine->models = g_hash_table_new (g_str_hash, g_str_equal);
  engine->adapters = g_hash_table_new (g_str_hash, g_str_equal);
  for (unsigned i = 0; i < MODELS_PER_ENGINE; i++)
    g_hash_table_insert (
        engine->models,
        g_strdup_printf ("m%u",
                         (number * MODELS_PER_ENGINE + i) % size->models),
        copy_new ());
  for (unsigned i = 0; i < ADAPTERS_PER_ENGINE; i++)
    g_hash_table_insert (
        engine->adapters,
        g_strdup_printf ("a%u",
                         (number * ADAPTERS_PER_ENGINE + i) % size->adapters),
        copy_new ());
  return engine;
}

static GHashTable *
make_engines (const struct size *size)
{
  GHashTable *engines = g_hash_table_new (g_str_hash, g_str_equal);

  for (unsigned i = 0; i < size->engines; i++)
    {
      struct fleet_engine *engine = engine_new (size, i);

      g_hash_table_insert (engines, engine->id, engine);
    }
  return engines;
}

static bool
never_loading (void *user, const char *model, struct timespec *ready_at)
{
  (void)user;
  (void)model;
  (void)ready_at;
  return false;
}

static double
zero_service_s (void *user, const char *name)
{
  (void)user;
  (void)name;
  return 0;
}

static void
measure_table (struct doc *doc, GHashTable *engines, struct result *result)
{
  struct table_input input = { .doc = doc,
                               .engines = engines,
                               .loading = never_loading,
                               .service_s = zero_service_s };

  result->values[TABLE_MS] = 1e9;
  for (int i = 0; i < ITERATIONS; i++)
    {
      struct route_table *table = route_table_new ();
      double before = heap_kib ();
      struct timespec start = clk_now (clk_monotonic ());
      double ms;

      table_build (&input, table);
      ms = ms_since (start);
      result->values[TABLE_MS] = MIN (result->values[TABLE_MS], ms);
      result->values[TABLE_KIB] = heap_kib () - before;
      route_table_free (table);
    }
}

static void
measure_lookup (const struct size *size, struct result *result)
{
  struct route_node *nodes = g_new0 (struct route_node, size->nodes);
  const struct route_node *picked[LOOKUP_ADDRESSES];
  struct lookup_query query = { .target = "m1", .zone = "zone-1" };
  struct timespec start;
  const int calls = 1000;

  for (unsigned i = 0; i < size->nodes; i++)
    nodes[i] = (struct route_node){ .id = g_strdup_printf ("n%04u", i),
                                    .address = g_strdup ("10.0.0.1:80"),
                                    .zone = g_strdup_printf ("zone-%u", i % 8),
                                    .region = g_strdup ("r") };
  start = clk_now (clk_monotonic ());
  for (int i = 0; i < calls; i++)
    lookup_nodes (&query, nodes, size->nodes, picked, LOOKUP_ADDRESSES);
  result->values[LOOKUP_US] = ms_since (start) * 1000 / calls;
  route_nodes_free (nodes, size->nodes);
}

static GArray *
cell_replicas (GHashTable *engines)
{
  GArray *replicas = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  const struct fleet_engine *engine;
  GHashTableIter iter;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, engines);
  while (n++ < CELL_ENGINES
         && g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      GHashTableIter models;
      char *model;

      g_hash_table_iter_init (&models, engine->models);
      while (g_hash_table_iter_next (&models, (gpointer *)&model, NULL))
        {
          struct peer_replica replica = { .engine = engine->id,
                                          .address = engine->address,
                                          .model = model,
                                          .version = "1",
                                          .state = BACKEND_COPY_LOADED,
                                          .slots = 8 };

          g_array_append_val (replicas, replica);
        }
    }
  return replicas;
}

/* Measures the update that a cell's placement planner sends every
   REPLICA_SYNC_LOAD_MS if the load of every engine has changed.  */
static void
measure_replica_sync (GHashTable *engines, struct result *result)
{
  struct replica_sender *sender = replica_sender_new ("cell", 1);
  GArray *replicas = cell_replicas (engines);
  struct timespec now = ts_from_ms (REPLICA_SYNC_LOAD_MS);
  struct timespec start;
  size_t length = 0;

  start = clk_now (clk_monotonic ());
  for (int round = 0; round < ITERATIONS; round++)
    {
      struct peer_msg msg;
      char *bytes = NULL;

      for (guint i = 0; i < replicas->len; i++)
        g_array_index (replicas, struct peer_replica, i).running
            = (unsigned)round + 1;
      now = ts_add_ms (now, REPLICA_SYNC_LOAD_MS);
      replica_sender_changes (sender, (struct peer_replica *)replicas->data,
                              replicas->len, now, &msg);
      frame_encode (&msg, &bytes, &length);
      g_free (bytes);
      peer_msg_clear (&msg);
    }
  result->values[REPLICA_SYNC_US] = ms_since (start) * 1000 / ITERATIONS;
  result->values[REPLICA_SYNC_BYTES] = (double)length;
  g_array_unref (replicas);
  replica_sender_free (sender);
}

/* Prints the least-squares line through all sizes; the error is the largest
   absolute residual, in percent of the value at the largest size.  */
static void
print_fit (const struct result *results, enum metric metric)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double max_error = 0;
  double slope;
  double intercept;

  for (int i = 0; i < SIZES; i++)
    {
      double x = sizes[i].adapters / 1000.0;
      double y = results[i].values[metric];

      sx += x;
      sy += y;
      sxx += x * x;
      sxy += x * y;
    }
  slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
  intercept = (sy - slope * sx) / SIZES;
  for (int i = 0; i < SIZES; i++)
    {
      double fitted = intercept + slope * sizes[i].adapters / 1000.0;

      max_error = MAX (max_error, ABS (results[i].values[metric] - fitted));
    }
  printf ("fit %-18s %.4f + %.4f per 1000 adapters, error %.1f %%\n",
          metric_names[metric], intercept, slope,
          100 * max_error / results[SIZES - 1].values[metric]);
}

static void
print_row (const struct size *size, const struct result *result)
{
  printf ("models=%u adapters=%u engines=%u nodes=%u", size->models,
          size->adapters, size->engines, size->nodes);
  for (int i = 0; i < METRICS; i++)
    printf (" %s=%.2f", metric_names[i], result->values[i]);
  printf ("\n");
}

int
bench_scale (int argc, char **argv)
{
  struct result results[SIZES] = { 0 };

  (void)argc;
  (void)argv;
  for (int i = 0; i < SIZES; i++)
    {
      struct result *result = &results[i];
      struct doc *doc = measure_doc (&sizes[i], result);
      GHashTable *engines = make_engines (&sizes[i]);

      if (doc == NULL)
        return 1;
      measure_table (doc, engines, result);
      measure_lookup (&sizes[i], result);
      measure_replica_sync (engines, result);
      print_row (&sizes[i], result);
      doc_unref (doc);
    }
  for (int i = 0; i < METRICS; i++)
    print_fit (results, (enum metric)i);
  return 0;
}
