#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "budget.h"
#include "gaps.h"
#include "place.h"
#include "ts.h"

#define CASES "tests/cases/place"
#define MODELS_MAX 8
#define WORDS_MAX 10

/* Runs the scripts in tests/cases/place; see the README there.  */

struct fake_engine
{
  char *id;
  uint64_t epoch;
  uint64_t seq;
  uint64_t mb;
  GHashTable *copies; /* name@version -> "loading" or "loaded" */
  GPtrArray *disk;
};

struct simulation
{
  const char *file;
  int line;
  struct timespec now;
  struct doc doc;
  struct doc_model models[MODELS_MAX];
  struct doc_adapter adapters[MODELS_MAX];
  struct doc_team team;
  GStringChunk *words;
  struct place *place;
  struct action_list out;
  GHashTable *engines;
  GPtrArray *orders; /* not yet expected */
};

static void
free_engine (void *pointer)
{
  struct fake_engine *engine = pointer;

  g_hash_table_unref (engine->copies);
  g_ptr_array_free (engine->disk, TRUE);
  g_free (engine->id);
  g_free (engine);
}

static void
start_place (struct simulation *w)
{
  struct place_options options = { 0 };

  if (w->place != NULL)
    return;
  options.cell = "c";
  options.doc = &w->doc;
  options.now = w->now;
  options.wall_offset = ts_from_s (864000.0);
  options.fence = 1;
  options.loads_per_s = 100.0;
  options.loads_at_once = 2;
  options.adapters_at_once = 2;
  w->place = place_new (&options);
}

static const char *
order_type_name (enum backend_order_type type)
{
  static const char *const words[] = { "load",         "unload",
                                       "adapter_load", "adapter_unload",
                                       "preload",      "role" };

  return words[type];
}

/* Accepts each order at once and records it.  */
static void
accept_orders (struct simulation *w)
{
  struct action *action;

  while ((action = action_pop (&w->out)) != NULL)
    {
      struct place_action *p = (struct place_action *)action;
      const char *name = p->order.adapter ? p->order.adapter : p->order.model;

      if (action->type == PLACE_ORDER)
        {
          g_ptr_array_add (
              w->orders,
              g_strdup_printf ("%s %s %s@%s", order_type_name (p->order.type),
                               p->order.engine, name, p->order.version));
          place_order_settled (w->place, p->order.order_id, true, "", w->now,
                               &w->out);
        }
      action_free (action);
    }
}

static uint64_t
size_of (const struct simulation *w, const char *name)
{
  for (size_t i = 0; i < w->doc.model_count; i++)
    if (strcmp (w->models[i].name, name) == 0)
      return w->models[i].memory_mb;
  for (size_t i = 0; i < w->doc.adapter_count; i++)
    if (strcmp (w->adapters[i].name, name) == 0)
      return w->adapters[i].memory_mb;
  return 1;
}

static bool
is_adapter (const struct simulation *w, const char *name)
{
  for (size_t i = 0; i < w->doc.adapter_count; i++)
    if (strcmp (w->adapters[i].name, name) == 0)
      return true;
  return false;
}

static void
report (struct simulation *w, struct fake_engine *engine)
{
  struct backend_report r = { 0 };
  struct backend_copy models[16];
  struct backend_copy adapters[16];
  GHashTableIter iter;
  gpointer key, state;

  memset (models, 0, sizeof models);
  memset (adapters, 0, sizeof adapters);
  g_hash_table_iter_init (&iter, engine->copies);
  while (g_hash_table_iter_next (&iter, &key, &state))
    {
      char **parts = g_strsplit (key, "@", 2);
      bool adapter = is_adapter (w, parts[0]);
      struct backend_copy *copy
          = adapter ? &adapters[r.adapter_count++] : &models[r.model_count++];

      copy->model = g_string_chunk_insert (w->words, parts[0]);
      copy->version = g_string_chunk_insert (w->words, parts[1]);
      copy->memory_mb = size_of (w, parts[0]);
      copy->state = strcmp (state, "loading") == 0 ? BACKEND_COPY_LOADING
                                                   : BACKEND_COPY_LOADED;
      copy->active = strcmp (state, "active") == 0;
      r.memory_used_mb += copy->memory_mb;
      g_strfreev (parts);
    }
  r.engine = engine->id;
  r.epoch = engine->epoch;
  r.seq = ++engine->seq;
  r.memory_mb = engine->mb;
  r.accelerators = 1;
  r.slots = 4;
  r.models = models;
  r.adapters = adapters;
  r.on_disk = (const char *const *)engine->disk->pdata;
  r.on_disk_count = engine->disk->len;
  place_report (w->place, &r, w->now, w->now, &w->out);
}

static void
add_model (struct simulation *w, char **words)
{
  struct doc_model *m = &w->models[w->doc.model_count++];

  m->name = g_string_chunk_insert (w->words, words[1]);
  m->team = w->team.name;
  m->pool = w->team.name;
  m->version = g_string_chunk_insert (w->words, words[2]);
  m->memory_mb = strtoull (words[3], NULL, 10);
  m->max_replicas = (unsigned)atoi (words[4]);
  m->min_replicas = (unsigned)atoi (words[5]);
  m->priority = (unsigned)atoi (words[6]);
}

static void
add_adapter (struct simulation *w, char **words)
{
  struct doc_adapter *a = &w->adapters[w->doc.adapter_count++];

  a->name = g_string_chunk_insert (w->words, words[1]);
  a->team = w->team.name;
  a->model = g_string_chunk_insert (w->words, words[2]);
  a->version = "1";
  a->memory_mb = strtoull (words[3], NULL, 10);
}

static void
set_version (struct simulation *w, const char *name, const char *version)
{
  for (size_t i = 0; i < w->doc.model_count; i++)
    if (strcmp (w->models[i].name, name) == 0)
      w->models[i].version = g_string_chunk_insert (w->words, version);
  place_doc (w->place, &w->doc, w->now, &w->out);
}

static struct fake_engine *
find_engine (struct simulation *w, const char *id)
{
  struct fake_engine *engine = g_hash_table_lookup (w->engines, id);

  if (engine == NULL)
    g_error ("%s:%d: no engine %s", w->file, w->line, id);
  return engine;
}

static void
add_engine (struct simulation *w, char **words)
{
  struct fake_engine *engine = g_new0 (struct fake_engine, 1);

  engine->id = g_strdup (words[1]);
  engine->mb = strtoull (words[2], NULL, 10);
  engine->epoch = 1;
  engine->copies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  engine->disk = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (w->engines, engine->id, engine);
  start_place (w);
  place_engine_seen (w->place, engine->id, "127.0.0.1:1", words[3], false,
                     w->now, &w->out);
}

static void
set_waiting (struct simulation *w, char **words)
{
  struct timespec deadline = ts_add_ms (w->now, atoi (words[4]));

  place_set_waiting (w->place, words[1], words[2], (unsigned)atoi (words[3]),
                     deadline, 5, w->now, &w->out);
}

static void
advance (struct simulation *w, int64_t ms)
{
  w->now = ts_add_ms (w->now, ms);
  place_tick (w->place, w->now, &w->out);
}

static void
expect (struct simulation *w, const char *text)
{
  accept_orders (w);
  if (strcmp (text, "nothing") == 0)
    {
      if (w->orders->len > 0)
        g_error ("%s:%d: unexpected order: %s", w->file, w->line,
                 (char *)g_ptr_array_index (w->orders, 0));
      return;
    }
  if (w->orders->len == 0)
    g_error ("%s:%d: expected %s, got no order", w->file, w->line, text);
  if (strcmp (g_ptr_array_index (w->orders, 0), text) != 0)
    g_error ("%s:%d: unexpected order: %s", w->file, w->line,
             (char *)g_ptr_array_index (w->orders, 0));
  g_ptr_array_remove_index (w->orders, 0);
}

static void
change_engine (struct simulation *w, char **words)
{
  struct fake_engine *engine = find_engine (w, words[1]);

  if (strcmp (words[0], "disk") == 0)
    g_ptr_array_add (engine->disk, g_strdup (words[2]));
  else if (strcmp (words[0], "holds") == 0)
    g_hash_table_insert (engine->copies, g_strdup (words[2]),
                         g_strdup (words[3]));
  else if (strcmp (words[0], "drops") == 0)
    g_hash_table_remove (engine->copies, words[2]);
  else if (strcmp (words[0], "report") == 0)
    report (w, engine);
  else if (strcmp (words[0], "restart") == 0)
    {
      engine->epoch++;
      g_hash_table_remove_all (engine->copies);
    }
  else if (strcmp (words[0], "leaving") == 0)
    place_engine_seen (w->place, engine->id, "127.0.0.1:1", "z", true, w->now,
                       &w->out);
  else if (strcmp (words[0], "gone") == 0)
    place_engine_gone (w->place, engine->id, w->now, &w->out);
  else
    g_error ("%s:%d: unknown command \"%s\"", w->file, w->line, words[0]);
}

static void
run_line (struct simulation *w, const char *line)
{
  char **words = g_strsplit (line, " ", WORDS_MAX);

  if (strcmp (words[0], "model") == 0)
    add_model (w, words);
  else if (strcmp (words[0], "adapter") == 0)
    add_adapter (w, words);
  else if (strcmp (words[0], "weight") == 0)
    w->team.cold_weight = g_ascii_strtod (words[1], NULL);
  else if (strcmp (words[0], "engine") == 0)
    add_engine (w, words);
  else if (strcmp (words[0], "version") == 0)
    set_version (w, words[1], words[2]);
  else if (strcmp (words[0], "want") == 0)
    set_waiting (w, words);
  else if (strcmp (words[0], "call") == 0)
    place_request_arrived (w->place, words[1], 1, w->now);
  else if (strcmp (words[0], "pass") == 0)
    advance (w, atoi (words[1]));
  else if (strcmp (words[0], "expect") == 0)
    expect (w, line + strlen ("expect "));
  else
    change_engine (w, words);
  accept_orders (w);
  g_strfreev (words);
}

static void
init (struct simulation *w, const char *file)
{
  memset (w, 0, sizeof *w);
  w->file = file;
  w->now = ts_from_s (100.0);
  w->words = g_string_chunk_new (512);
  w->team.name = "t";
  w->team.cold_weight = 0.5;
  w->doc.teams = &w->team;
  w->doc.team_count = 1;
  w->doc.models = w->models;
  w->doc.adapters = w->adapters;
  w->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engine);
  w->orders = g_ptr_array_new_with_free_func (g_free);
  action_list_init (&w->out);
}

static void
run_case (gconstpointer data)
{
  struct simulation w;
  char *text;
  char **lines;

  init (&w, data);
  g_assert_true (g_file_get_contents (data, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      w.line = i + 1;
      if (lines[i][0] != '\0' && lines[i][0] != '#')
        run_line (&w, lines[i]);
    }
  g_assert_cmpuint (w.orders->len, ==, 0);
  place_free (w.place);
  g_hash_table_unref (w.engines);
  g_ptr_array_free (w.orders, TRUE);
  g_string_chunk_free (w.words);
  g_strfreev (lines);
  g_free (text);
}

static void
test_gaps (void)
{
  struct gaps regular;

  gaps_init (&regular);
  for (int i = 0; i < 200; i++)
    gaps_call (&regular, NULL, 864000.0 + i * 600.0);
  /* Requests ten minutes apart: the next is likely within fifteen minutes and
     unlikely within one.  */
  g_assert_cmpfloat (
      gaps_call_probability (&regular, NULL, 864000.0 + 199 * 600.0, 900.0), >,
      0.9);
  g_assert_cmpfloat (
      gaps_call_probability (&regular, NULL, 864000.0 + 199 * 600.0, 60.0), <,
      0.1);
}

/* Probability of a request within ten minutes, ten minutes after the last one,
   at HOUR of a day that follows ten days with requests from 10 to 13 o'clock
   only.  */
static double
probability_at (int hour)
{
  struct gaps gaps;
  double last_s = 20 * 86400.0 + hour * 3600.0 - 600.0;

  gaps_init (&gaps);
  for (int day = 10; day < 20; day++)
    for (int i = 0; i < 15; i++)
      gaps_call (&gaps, NULL, day * 86400.0 + 36000.0 + i * 700.0);
  gaps_call (&gaps, NULL, last_s);
  return gaps_call_probability (&gaps, NULL, last_s + 600.0, 600.0);
}

static void
test_gaps_hour (void)
{
  g_assert_cmpfloat (probability_at (11), >, 0.5);
  g_assert_cmpfloat (probability_at (22), <, 0.4);
}

static void
test_gaps_class (void)
{
  struct gaps own;
  struct gaps prior;
  double without, with;

  gaps_init (&own);
  gaps_init (&prior);
  gaps_call (&own, NULL, 864000.0);
  for (int i = 0; i < 100; i++)
    gaps_call (&prior, NULL, 864000.0 + i * 100.0);
  without = gaps_call_probability (&own, NULL, 864010.0, 200.0);
  with = gaps_call_probability (&own, &prior, 864010.0, 200.0);
  g_assert_cmpfloat (without, <, 0.01);
  g_assert_cmpfloat (with, >, 0.5);
}

static void
test_budget (void)
{
  struct budget budget;
  struct timespec now = ts_from_s (10.0);

  budget_init (&budget, 0.5, 2, now);
  g_assert_true (budget_allows (&budget, now));
  budget_take (&budget, now);
  g_assert_false (budget_allows (&budget, now)); /* rate limit */
  g_assert_cmpint (ts_to_ms (budget_next_at (&budget, now)), ==, 12000);
  now = ts_from_s (12.0);
  g_assert_true (budget_allows (&budget, now));
  budget_take (&budget, now);
  now = ts_from_s (60.0);
  g_assert_false (budget_allows (&budget, now)); /* concurrency limit */
  budget_done (&budget, 40.0, 10.0);
  g_assert_true (budget_allows (&budget, now));
  g_assert_cmpfloat (budget.slow, >, 1.5);
}

/* Four concurrent fetches are allowed, but the store serves only two at full
   speed: the budget must find that limit.  */
static void
test_budget_learns (void)
{
  struct budget budget;

  budget_init (&budget, 10.0, 4, ts_from_s (0));
  g_assert_cmpuint (budget_max_in_flight (&budget), ==, 4);
  budget_record_fetch (&budget, 1, 10.4, 10.0);
  budget_record_fetch (&budget, 4, 10.4, 0);
  g_assert_cmpuint (budget_max_in_flight (&budget), ==, 4);
  budget_record_fetch (&budget, 4, 20.1, 10.0);
  g_assert_cmpuint (budget_max_in_flight (&budget), ==, 2);
  for (int i = 0; i < 4; i++)
    budget_record_fetch (&budget, 2, 10.2, 10.0);
  g_assert_cmpuint (budget_max_in_flight (&budget), ==, 3);
  budget_record_fetch (&budget, 3, 15.2, 10.0);
  g_assert_cmpuint (budget_max_in_flight (&budget), ==, 2);
}

int
main (int argc, char **argv)
{
  GDir *dir;
  const char *name;
  GPtrArray *paths = g_ptr_array_new_with_free_func (g_free);
  int status;

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gaps/regular", test_gaps);
  g_test_add_func ("/gaps/hour", test_gaps_hour);
  g_test_add_func ("/gaps/class", test_gaps_class);
  g_test_add_func ("/budget", test_budget);
  g_test_add_func ("/budget/learns", test_budget_learns);
  dir = g_dir_open (CASES, 0, NULL);
  g_assert_nonnull (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".case"))
      {
        char *path = g_build_filename (CASES, name, NULL);
        char *test = g_strdup_printf ("/place/%s", name);

        g_ptr_array_add (paths, path);
        g_test_add_data_func (test, path, run_case);
        g_free (test);
      }
  g_dir_close (dir);
  g_assert_cmpuint (paths->len, >, 0);
  status = g_test_run ();
  g_ptr_array_free (paths, TRUE);
  return status;
}
