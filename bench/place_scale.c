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

struct size
{
  unsigned models;
  unsigned adapters;
  unsigned used; /* adapters called and waited for */
};

struct names
{
  struct doc doc;
  struct doc_team team;
  GStringChunk *chunk;
};

static char *
word (struct names *names, const char *prefix, unsigned i)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s%06u", prefix, i);
  return g_string_chunk_insert (names->chunk, text);
}

static void
make_names (struct names *names, const struct size *size)
{
  struct doc *doc = &names->doc;

  names->team.name = "team";
  names->team.cold_weight = 1.0; /* nothing idles: the cost of looking */
  doc->teams = &names->team;
  doc->team_count = 1;
  names->chunk = g_string_chunk_new (4096);
  doc->models = g_new0 (struct doc_model, size->models);
  doc->model_count = size->models;
  doc->adapters = g_new0 (struct doc_adapter, size->adapters);
  doc->adapter_count = size->adapters;
  for (unsigned i = 0; i < size->models; i++)
    {
      struct doc_model *model = &doc->models[i];

      model->name = word (names, "m", i);
      model->team = "team";
      model->pool = "pool";
      model->version = "1";
      model->memory_mb = 8192;
      model->kv_reserve_mb = 2048;
      model->max_replicas = 2;
    }
  for (unsigned i = 0; i < size->adapters; i++)
    {
      struct doc_adapter *adapter = &doc->adapters[i];

      adapter->name = word (names, "x", i);
      adapter->team = "team";
      adapter->model = doc->models[i % size->models].name;
      adapter->version = "1";
      adapter->memory_mb = 64;
    }
}

static void
free_names (struct names *names)
{
  g_free (names->doc.models);
  g_free (names->doc.adapters);
  g_string_chunk_free (names->chunk);
}

static double
seconds (void)
{
  return ts_to_s (clk_now (clk_monotonic ()));
}

static unsigned
engine_of (const struct doc *doc, unsigned adapter)
{
  return (unsigned)(adapter % MAX (doc->model_count, 1)) % ENGINES;
}

static struct backend_copy
loaded (const char *name, uint64_t memory_mb)
{
  struct backend_copy copy = { 0 };

  copy.model = name;
  copy.version = "1";
  copy.state = BACKEND_COPY_LOADED;
  copy.memory_mb = memory_mb;
  return copy;
}

/* Seconds of a report of ENGINE, which holds its part of the models and of
   the first USED adapters; none when USED is 0.  */
static double
report (struct place *place, const struct doc *doc, unsigned engine,
        unsigned used, struct timespec now, struct action_list *out)
{
  char id[16];
  double start_s, spent_s;
  struct backend_report report = { 0 };
  GArray *models = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (struct backend_copy));

  for (size_t i = engine; used > 0 && i < doc->model_count; i += ENGINES)
    {
      struct backend_copy copy
          = loaded (doc->models[i].name, doc->models[i].memory_mb);

      g_array_append_val (models, copy);
    }
  for (unsigned i = 0; i < used; i++)
    if (engine_of (doc, i) == engine)
      {
        struct backend_copy copy
            = loaded (doc->adapters[i].name, doc->adapters[i].memory_mb);

        g_array_append_val (copies, copy);
      }
  report.models = (const struct backend_copy *)(void *)models->data;
  report.model_count = models->len;
  report.adapter_count = copies->len;
  report.adapters = (const struct backend_copy *)(void *)copies->data;
  g_snprintf (id, sizeof id, "e%u", engine);
  report.engine = id;
  report.epoch = 1;
  report.seq = (uint64_t)ts_to_ns (now);
  report.memory_mb = 1u << 20;
  report.accelerators = 4;
  report.slots = 16;
  start_s = seconds ();
  place_report (place, &report, now, now, out);
  spent_s = seconds () - start_s;
  g_array_free (models, TRUE);
  g_array_free (copies, TRUE);
  return spent_s;
}

static struct place *
make_place (struct names *names, struct timespec now, struct action_list *out)
{
  struct place_options options = { 0 };
  struct place *place;

  options.cell = "c";
  options.doc = &names->doc;
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
      report (place, &names->doc, i, 0, now, out);
    }
  return place;
}

static size_t
held_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Seconds a report, each engine reporting once.  */
static double
time_reports (struct place *place, const struct doc *doc, unsigned used,
              struct timespec *now, struct action_list *out)
{
  double sum_s = 0.0;

  *now = ts_add_ms (*now, 10);
  for (unsigned i = 0; i < ENGINES; i++)
    sum_s += report (place, doc, i, used, *now, out);
  return sum_s / ENGINES;
}

static void
measure (const struct size *size)
{
  struct names names = { 0 };
  struct action_list out;
  struct timespec now = ts_from_s (1000.0);
  struct place *place;
  size_t before, after;
  double call_s, want_s, tick_s, first_s, report_s, start_s;

  action_list_init (&out);
  make_names (&names, size);
  before = held_bytes ();
  place = make_place (&names, now, &out);
  start_s = seconds ();
  for (unsigned i = 0; i < CALLS; i++)
    {
      now = ts_add_ms (now, 1);
      place_request_arrived (place, names.doc.adapters[i % size->used].name, 1,
                             now);
    }
  call_s = (seconds () - start_s) / CALLS;
  start_s = seconds ();
  for (unsigned i = 0; i < size->models; i++)
    {
      place_set_waiting (place, "n0", names.doc.models[i].name, 1,
                         ts_add_ms (now, 30000), 5, now, &out);
      place_set_waiting (place, "n0", names.doc.models[i].name, 0, now, 5, now,
                         &out);
    }
  want_s = (seconds () - start_s) / size->models;
  action_list_clear (&out);
  first_s = time_reports (place, &names.doc, size->used, &now, &out);
  report_s = time_reports (place, &names.doc, size->used, &now, &out);
  action_list_clear (&out);
  after = held_bytes ();
  start_s = seconds ();
  for (unsigned i = 0; i < TICKS; i++)
    {
      now = ts_add_ms (now, 2000);
      place_tick (place, now, &out);
    }
  tick_s = (seconds () - start_s) / TICKS;
  action_list_clear (&out);
  printf ("%7u %9u %7u %9.3f %9.1f %9.1f %9.1f %9.3f %10zu\n", size->models,
          size->adapters, size->used, call_s * 1e6, want_s * 1e6,
          first_s * 1e6, report_s * 1e6, tick_s * 1e3,
          (after - before) / 1024);
  place_free (place);
  free_names (&names);
}

int
bench_place_scale (int argc, char **argv)
{
  static const struct size sizes[]
      = { { 39, 2400, 240 },    { 39, 2400, 2400 },    { 390, 2400, 2400 },
          { 390, 24000, 2400 }, { 390, 24000, 24000 }, { 39, 24000, 24000 } };

  (void)argc;
  (void)argv;
  printf ("%d engines in one cell\n%7s %9s %7s %9s %9s %9s %9s %9s %10s\n",
          ENGINES, "models", "adapters", "held", "call_us", "want_us",
          "first_us", "report_us", "tick_ms", "KiB");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return 0;
}
