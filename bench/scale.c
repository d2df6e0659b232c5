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
#define REPEATS 5
#define MODELS_PER_ENGINE 4
#define ADAPTERS_PER_ENGINE 16
#define CELL_ENGINES 64
#define KIB 1024.0

/* One size of the system, a share of the size to design for.  */
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

enum value
{
  DOC_MS,
  DOC_KIB,
  TABLE_MS,
  TABLE_KIB,
  LOOKUP_US,
  SPREAD_US,
  SPREAD_BYTES,
  VALUES
};

static const char *const value_names[VALUES]
    = { "doc_ms",    "doc_kib",        "table_ms",         "table_kib",
        "lookup_us", "cell_spread_us", "cell_spread_bytes" };

struct result
{
  double values[VALUES];
};

static double
heap_kib (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks / KIB;
}

static double
ms_since (struct timespec from)
{
  return ts_to_s (ts_sub (clk_now (clk_monotonic ()), from)) * 1000;
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
make_doc (const struct size *size, struct result *result)
{
  char *text = document_text (size);
  double before = heap_kib ();
  struct timespec from = clk_now (clk_monotonic ());
  struct findings findings;
  struct doc *doc = NULL;

  findings_init (&findings);
  if (doc_parse (text, strlen (text), 1, &doc, &findings) < 0)
    findings_print (&findings, "parsley-bench", stderr);
  findings_clear (&findings);
  result->values[DOC_MS] = ms_since (from);
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
no_loading (void *user, const char *model, struct timespec *ready_at)
{
  (void)user;
  (void)model;
  (void)ready_at;
  return false;
}

static double
no_service_s (void *user, const char *name)
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
                               .loading = no_loading,
                               .service_s = no_service_s };

  result->values[TABLE_MS] = 1e9;
  for (int i = 0; i < REPEATS; i++)
    {
      struct route_table *table = route_table_new ();
      double before = heap_kib ();
      struct timespec from = clk_now (clk_monotonic ());
      double ms;

      table_build (&input, table);
      ms = ms_since (from);
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
  struct timespec from;
  const int calls = 1000;

  for (unsigned i = 0; i < size->nodes; i++)
    nodes[i] = (struct route_node){ .id = g_strdup_printf ("n%04u", i),
                                    .address = g_strdup ("10.0.0.1:80"),
                                    .zone = g_strdup_printf ("zone-%u", i % 8),
                                    .region = g_strdup ("r") };
  from = clk_now (clk_monotonic ());
  for (int i = 0; i < calls; i++)
    lookup_nodes (&query, nodes, size->nodes, picked, LOOKUP_ADDRESSES);
  result->values[LOOKUP_US] = ms_since (from) * 1000 / calls;
  route_nodes_free (nodes, size->nodes);
}

static GArray *
cell_replicas (GHashTable *engines)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
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

          g_array_append_val (list, replica);
        }
    }
  return list;
}

/* What a cell's decider says each half second when every engine's load has
   changed.  */
static void
measure_spread (GHashTable *engines, struct result *result)
{
  struct replica_sender *out = replica_sender_new ("cell", 1);
  GArray *list = cell_replicas (engines);
  struct timespec now = ts_from_ms (REPLICA_SYNC_LOAD_MS);
  struct timespec from;
  size_t length = 0;

  from = clk_now (clk_monotonic ());
  for (int round = 0; round < REPEATS; round++)
    {
      struct peer_msg msg;
      char *bytes = NULL;

      for (guint i = 0; i < list->len; i++)
        g_array_index (list, struct peer_replica, i).running
            = (unsigned)round + 1;
      now = ts_add_ms (now, REPLICA_SYNC_LOAD_MS);
      replica_sender_changes (out, (struct peer_replica *)list->data,
                              list->len, now, &msg);
      frame_encode (&msg, &bytes, &length);
      g_free (bytes);
      peer_msg_clear (&msg);
    }
  result->values[SPREAD_US] = ms_since (from) * 1000 / REPEATS;
  result->values[SPREAD_BYTES] = (double)length;
  g_array_unref (list);
  replica_sender_free (out);
}

/* Least squares through all sizes; the error is the largest distance of a
   point from the line, in percent of the largest value.  */
static void
print_fit (const struct result *results, enum value value)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double worst = 0;
  double slope;
  double base;

  for (int i = 0; i < SIZES; i++)
    {
      double x = sizes[i].adapters / 1000.0;
      double y = results[i].values[value];

      sx += x;
      sy += y;
      sxx += x * x;
      sxy += x * y;
    }
  slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
  base = (sy - slope * sx) / SIZES;
  for (int i = 0; i < SIZES; i++)
    {
      double line = base + slope * sizes[i].adapters / 1000.0;

      worst = MAX (worst, ABS (results[i].values[value] - line));
    }
  printf ("fit %-18s %.4f + %.4f per 1000 adapters, error %.1f %%\n",
          value_names[value], base, slope,
          100 * worst / results[SIZES - 1].values[value]);
}

static void
print_row (const struct size *size, const struct result *result)
{
  printf ("models=%u adapters=%u engines=%u nodes=%u", size->models,
          size->adapters, size->engines, size->nodes);
  for (int i = 0; i < VALUES; i++)
    printf (" %s=%.2f", value_names[i], result->values[i]);
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
      struct result *r = &results[i];
      struct doc *doc = make_doc (&sizes[i], r);
      GHashTable *engines = make_engines (&sizes[i]);

      if (doc == NULL)
        return 1;
      measure_table (doc, engines, r);
      measure_lookup (&sizes[i], r);
      measure_spread (engines, r);
      print_row (&sizes[i], r);
      doc_unref (doc);
    }
  for (int i = 0; i < VALUES; i++)
    print_fit (results, (enum value)i);
  return 0;
}
