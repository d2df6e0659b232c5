#include "bench.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <glib.h>
#include "clk.h"
#include "place.h"
#include "ts.h"

#define ENGINES 64
#define MODELS 390
#define CALLS 20000
#define TICKS 50

struct scale_case
{
  unsigned models;
  unsigned adapters;
  unsigned resident_adapters; /* adapters called and loaded */
};

struct catalog
{
  struct doc doc;
  struct doc_team team;
  GStringChunk *chunk;
};

static char *
intern_name (struct catalog *catalog, const char *prefix, unsigned i)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s%06u", prefix, i);
  return g_string_chunk_insert (catalog->chunk, text);
}

static void
make_catalog (struct catalog *catalog, const struct scale_case *scale_case)
{
  struct doc *doc = &catalog->doc;

  catalog->team.name = "team";
  catalog->team.cold_weight = 1.0; /* keeps idle copies: ticks only scan */
  doc->teams = &catalog->team;
  doc->team_count = 1;
  catalog->chunk = g_string_chunk_new (4096);
  doc->models = g_new0 (struct doc_model, scale_case->models);
  doc->model_count = scale_case->models;
  doc->adapters = g_new0 (struct doc_adapter, scale_case->adapters);
  doc->adapter_count = scale_case->adapters;
  for (unsigned i = 0; i < scale_case->models; i++)
    {
      struct doc_model *model = &doc->models[i];

      model->name = intern_name (catalog, "m", i);
      model->team = "team";
      model->pool = "pool";
      model->version = "1";
      model->memory_mb = 8192;
      model->kv_reserve_mb = 2048;
      model->max_replicas = 2;
    }
  for (unsigned i = 0; i < scale_case->adapters; i++)
    {
      struct doc_adapter *adapter = &doc->adapters[i];

      adapter->name = intern_name (catalog, "x", i);
      adapter->team = "team";
      adapter->model = doc->models[i % scale_case->models].name;
      adapter->version = "1";
      adapter->memory_mb = 64;
    }
}

static void
free_catalog (struct catalog *catalog)
{
  g_free (catalog->doc.models);
  g_free (catalog->doc.adapters);
  g_string_chunk_free (catalog->chunk);
}

static double
now_s (void)
{
  return ts_to_s (clk_now (clk_monotonic ()));
}

static unsigned
engine_index (const struct doc *doc, unsigned adapter)
{
  return (unsigned)(adapter % MAX (doc->model_count, 1)) % ENGINES;
}

static struct backend_copy
loaded_copy (const char *name, uint64_t memory_mb)
{
  struct backend_copy copy = { 0 };

  copy.model = name;
  copy.version = "1";
  copy.state = BACKEND_COPY_LOADED;
  copy.memory_mb = memory_mb;
  return copy;
}

/* Returns the seconds that PLACE takes for a report of ENGINE, which has its
   share of the models and of the first RESIDENT_ADAPTERS adapters loaded, or
   nothing if RESIDENT_ADAPTERS is 0.  */
static double
send_report (struct place *place, const struct doc *doc, unsigned engine,
             unsigned resident_adapters, struct timespec now,
             struct action_list *out)
{
  char id[16];
  double start_s, spent_s;
  struct backend_report report = { 0 };
  GArray *models = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));
  GArray *adapters = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));

  for (size_t i = engine; resident_adapters > 0 && i < doc->model_count;
       i += ENGINES)
    {
      struct backend_copy copy
          = loaded_copy (doc->models[i].name, doc->models[i].memory_mb);

      g_array_append_val (models, copy);
    }
  for (unsigned i = 0; i < resident_adapters; i++)
    if (engine_index (doc, i) == engine)
      {
        struct backend_copy copy
            = loaded_copy (doc->adapters[i].name, doc->adapters[i].memory_mb);

        g_array_append_val (adapters, copy);
      }
  report.models = (const struct backend_copy *)(void *)models->data;
  report.model_count = models->len;
  report.adapter_count = adapters->len;
  report.adapters = (const struct backend_copy *)(void *)adapters->data;
  g_snprintf (id, sizeof id, "e%u", engine);
  report.engine = id;
  report.epoch = 1;
  report.seq = (uint64_t)ts_to_ns (now);
  report.memory_mb = 1u << 20;
  report.accelerators = 4;
  report.slots = 16;
  start_s = now_s ();
  place_report (place, &report, now, now, out);
  spent_s = now_s () - start_s;
  g_array_free (models, TRUE);
  g_array_free (adapters, TRUE);
  return spent_s;
}

static struct place *
make_place (struct catalog *catalog, struct timespec now,
            struct action_list *out)
{
  struct place_options options = { 0 };
  struct place *place;

  options.cell = "c";
  options.doc = &catalog->doc;
  options.now = now;
  options.loads_per_s = 1e6;
  options.loads_at_once = 1000000;
  options.adapters_at_once = 30;
  place = place_new (&options);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "e%u", i);
      place_engine_seen (place, id, "127.0.0.1:1", "z", false, now, out);
      send_report (place, &catalog->doc, i, 0, now, out);
    }
  return place;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Returns the mean seconds per report; each engine reports once.  */
static double
mean_report_s (struct place *place, const struct doc *doc,
               unsigned resident_adapters, struct timespec *now,
               struct action_list *out)
{
  double sum_s = 0.0;

  *now = ts_add_ms (*now, 10);
  for (unsigned i = 0; i < ENGINES; i++)
    sum_s += send_report (place, doc, i, resident_adapters, *now, out);
  return sum_s / ENGINES;
}

static void
measure (const struct scale_case *scale_case)
{
  struct catalog catalog = { 0 };
  struct action_list out;
  struct timespec now = ts_from_s (1000.0);
  struct place *place;
  size_t before, after;
  double call_s, set_waiting_s, tick_s, first_report_s, report_s, start_s;

  action_list_init (&out);
  make_catalog (&catalog, scale_case);
  before = heap_bytes ();
  place = make_place (&catalog, now, &out);
  start_s = now_s ();
  for (unsigned i = 0; i < CALLS; i++)
    {
      now = ts_add_ms (now, 1);
      place_request_arrived (
          place, catalog.doc.adapters[i % scale_case->resident_adapters].name,
          1, now);
    }
  call_s = (now_s () - start_s) / CALLS;
  start_s = now_s ();
  for (unsigned i = 0; i < scale_case->models; i++)
    {
      place_set_waiting (place, "n0", catalog.doc.models[i].name, 1,
                         ts_add_ms (now, 30000), 5, now, &out);
      place_set_waiting (place, "n0", catalog.doc.models[i].name, 0, now, 5,
                         now, &out);
    }
  set_waiting_s = (now_s () - start_s) / scale_case->models;
  action_list_clear (&out);
  first_report_s = mean_report_s (place, &catalog.doc,
                                  scale_case->resident_adapters, &now, &out);
  report_s = mean_report_s (place, &catalog.doc, scale_case->resident_adapters,
                            &now, &out);
  action_list_clear (&out);
  after = heap_bytes ();
  start_s = now_s ();
  for (unsigned i = 0; i < TICKS; i++)
    {
      now = ts_add_ms (now, 2000);
      place_tick (place, now, &out);
    }
  tick_s = (now_s () - start_s) / TICKS;
  action_list_clear (&out);
  printf ("%7u %9u %7u %9.3f %9.1f %9.1f %9.1f %9.3f %10zu\n",
          scale_case->models, scale_case->adapters,
          scale_case->resident_adapters, call_s * 1e6, set_waiting_s * 1e6,
          first_report_s * 1e6, report_s * 1e6, tick_s * 1e3,
          (after - before) / 1024);
  place_free (place);
  free_catalog (&catalog);
}

int
bench_place_scale (int argc, char **argv)
{
  static const struct scale_case cases[]
      = { { 39, 2400, 240 },    { 39, 2400, 2400 },    { 390, 2400, 2400 },
          { 390, 24000, 2400 }, { 390, 24000, 24000 }, { 39, 24000, 24000 } };

  (void)argc;
  (void)argv;
  printf ("%d engines in one cell\n%7s %9s %7s %9s %9s %9s %9s %9s %10s\n",
          ENGINES, "models", "adapters", "held", "call_us", "want_us",
          "first_us", "report_us", "tick_ms", "KiB");
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    measure (&cases[i]);
  return 0;
}
