#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "cases.h"
#include "fake_table.h"
#include "record.h"
#include "record_row.h"
#include "ts.h"

#define NODES 2
#define REQUESTS 10
#define EPOCH_S 1000000000
#define ROUND_TRIP_MS 5 /* of the fake table */

enum mode
{
  MODE_UP,
  MODE_DOWN,
  MODE_MUTE
};

struct pending
{
  unsigned node;
  unsigned life;
  struct timespec at;
  struct action *action;
};

struct scene
{
  struct fake_table table;
  GHashTable *objects; /* key -> GBytes */
  struct record *nodes[NODES];
  unsigned lives[NODES];
  GQueue pending;
  struct timespec now;
  enum mode table_mode;
  enum mode objects_mode;
  int verdicts[REQUESTS]; /* enum msg_verdict, -1: none */
  size_t answer_length[REQUESTS];
  unsigned given;
  unsigned txns;
};

static struct record *
new_record (unsigned node, unsigned life)
{
  char name[] = { (char)('a' + node), 0 };
  struct record_options options
      = { .node = name, .start = life + 1, .epoch = { .tv_sec = EPOCH_S } };

  return record_new (&options);
}

static void
scene_begin (struct scene *scene)
{
  memset (scene, 0, sizeof *scene);
  fake_table_init (&scene->table);
  scene->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_bytes_unref);
  g_queue_init (&scene->pending);
  scene->now = ts_from_ms (1000);
  for (unsigned i = 0; i < NODES; i++)
    scene->nodes[i] = new_record (i, 0);
  for (unsigned i = 0; i < REQUESTS; i++)
    scene->verdicts[i] = -1;
}

static void
pending_free (gpointer pointer)
{
  action_free (((struct pending *)pointer)->action);
  g_free (pointer);
}

static void
scene_end (struct scene *scene)
{
  g_queue_clear_full (&scene->pending, pending_free);
  for (unsigned i = 0; i < NODES; i++)
    record_free (scene->nodes[i]);
  g_hash_table_destroy (scene->objects);
  fake_table_clear (&scene->table);
}

static void
take_verdict (struct scene *scene, const struct record_action_verdict *verdict)
{
  scene->given++;
  if (verdict->request >= REQUESTS)
    return;
  g_assert_cmpint (scene->verdicts[verdict->request], ==, -1);
  scene->verdicts[verdict->request] = (int)verdict->verdict;
  scene->answer_length[verdict->request] = verdict->length;
}

static void
take (struct scene *scene, unsigned node, struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    {
      struct pending *pending;

      if (action->type == RECORD_VERDICT)
        {
          take_verdict (scene, (struct record_action_verdict *)action);
          action_free (action);
          continue;
        }
      scene->txns += action->type == RECORD_TXN;
      pending = g_new (struct pending, 1);
      *pending
          = (struct pending){ node, scene->lives[node],
                              ts_add_ms (scene->now, ROUND_TRIP_MS), action };
      g_queue_push_tail (&scene->pending, pending);
    }
}

static enum platform_status
status_of (enum mode mode)
{
  return mode == MODE_UP     ? PLATFORM_OK
         : mode == MODE_DOWN ? PLATFORM_REFUSED
                             : PLATFORM_UNKNOWN;
}

static void
answer_txn (struct scene *scene, struct record *record, struct action *action,
            struct action_list *list)
{
  const struct platform_txn *txn = &((struct batch_action *)action)->txn;
  enum platform_status status = status_of (scene->table_mode);
  struct platform_rows rows = { 0 };

  if (scene->table_mode == MODE_MUTE)
    fake_table_txn (&scene->table, txn, NULL);
  else if (scene->table_mode == MODE_UP)
    status = fake_table_txn (&scene->table, txn, &rows);
  record_txn_done (record, txn->token, status, &rows, scene->now, list);
  fake_rows_clear (&rows);
}

static void
answer_scan (struct scene *scene, struct record *record, struct action *action,
             struct action_list *list)
{
  const struct record_action_scan *scan
      = (const struct record_action_scan *)action;
  struct platform_rows rows = { 0 };

  if (scene->table_mode == MODE_UP)
    fake_table_scan (&scene->table, scan->prefix, scan->limit, &rows);
  record_scan_done (record, scan->prefix, status_of (scene->table_mode), &rows,
                    scene->now, list);
  fake_rows_clear (&rows);
}

static void
answer_object (struct scene *scene, struct record *record,
               struct action *action, struct action_list *list)
{
  const struct record_action_object *object
      = (const struct record_action_object *)action;
  enum platform_status status = status_of (scene->objects_mode);
  GBytes *bytes = NULL;
  gsize length = 0;
  const void *data = NULL;

  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_PUT)
    g_hash_table_replace (scene->objects, g_strdup (object->key),
                          g_bytes_new (object->bytes, object->length));
  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_DELETE)
    g_hash_table_remove (scene->objects, object->key);
  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_GET)
    {
      bytes = g_hash_table_lookup (scene->objects, object->key);
      data = bytes != NULL ? g_bytes_get_data (bytes, &length) : NULL;
      status = bytes != NULL ? PLATFORM_OK : PLATFORM_NOT_FOUND;
    }
  record_object_done (record, (enum record_action_type)action->type,
                      object->key, status, data, length, scene->now, list);
}

static void
answer (struct scene *scene, struct pending *pending)
{
  struct record *record = scene->nodes[pending->node];
  struct action_list list;

  action_list_init (&list);
  if (scene->lives[pending->node] != pending->life)
    g_debug ("result for a node that died");
  else if (pending->action->type == RECORD_TXN)
    answer_txn (scene, record, pending->action, &list);
  else if (pending->action->type == RECORD_SCAN)
    answer_scan (scene, record, pending->action, &list);
  else
    answer_object (scene, record, pending->action, &list);
  take (scene, pending->node, &list);
  pending_free (pending);
}

static void
wait_ms (struct scene *scene, int64_t ms)
{
  struct timespec until = ts_add_ms (scene->now, ms);

  for (; ts_before (scene->now, until); scene->now = ts_add_ms (scene->now, 1))
    {
      struct pending *first;

      while ((first = g_queue_peek_head (&scene->pending)) != NULL
             && !ts_before (scene->now, first->at))
        answer (scene, g_queue_pop_head (&scene->pending));
      for (unsigned node = 0; node < NODES; node++)
        {
          struct action_list list;

          action_list_init (&list);
          if (!ts_before (scene->now, record_next (scene->nodes[node])))
            record_tick (scene->nodes[node], scene->now, &list);
          take (scene, node, &list);
        }
    }
}

static void
begin (struct scene *scene, unsigned node, uint64_t id, const char *key,
       uint64_t fingerprint, int64_t deadline_ms)
{
  struct record_request request = {
    .key = key, .target = "t", .fingerprint = fingerprint, .request = id
  };
  struct action_list list;

  request.deadline = ts_add_ms (scene->now, deadline_ms);
  action_list_init (&list);
  record_begin (scene->nodes[node], &request, scene->now, &list);
  take (scene, node, &list);
}

static void
end (struct scene *scene, unsigned node, uint64_t id, const char *how,
     size_t length)
{
  char *body = g_strnfill (length, 'x');
  struct record_outcome outcome = { .ran = strcmp (how, "none") != 0,
                                    .whole = strcmp (how, "whole") == 0,
                                    .status = 200,
                                    .body = body,
                                    .length = length };
  struct action_list list;

  action_list_init (&list);
  record_end (scene->nodes[node], 0, id, &outcome, scene->now, &list);
  take (scene, node, &list);
  g_free (body);
}

static void
leave (struct scene *scene, unsigned node, uint64_t id)
{
  struct action_list list;

  action_list_init (&list);
  record_leave (scene->nodes[node], 0, id, scene->now, &list);
  take (scene, node, &list);
}

static void
set_nodes (struct scene *scene, char **names)
{
  for (unsigned node = 0; node < NODES; node++)
    record_nodes (scene->nodes[node], (const char *const *)names,
                  g_strv_length (names));
}

static const char *
verdict_name (int verdict)
{
  static const char *const names[]
      = { "none", "run", "recorded", "mismatch", "unknown", "not_run" };

  return names[verdict + 1];
}

static enum mode
mode_named (const char *name)
{
  return strcmp (name, "up") == 0     ? MODE_UP
         : strcmp (name, "down") == 0 ? MODE_DOWN
                                      : MODE_MUTE;
}

static void
run_line (struct scene *scene, const char *word, char **words)
{
  unsigned node = (unsigned)(words[0][0] - 'a');
  unsigned n = g_strv_length (words);
  uint64_t id = n > 1 ? g_ascii_strtoull (words[1], NULL, 10) : 0;

  if (strcmp (word, "begin") == 0)
    begin (scene, node, id, words[2], g_ascii_strtoull (words[3], NULL, 10),
           n > 4 ? atoi (words[4]) : 30000);
  else if (strcmp (word, "end") == 0)
    end (scene, node, id, words[2],
         n > 3 ? g_ascii_strtoull (words[3], NULL, 10) : 10);
  else if (strcmp (word, "leave") == 0)
    leave (scene, node, id);
  else if (strcmp (word, "nodes") == 0)
    set_nodes (scene, words);
  else if (strcmp (word, "table") == 0)
    scene->table_mode = mode_named (words[0]);
  else if (strcmp (word, "objects") == 0)
    scene->objects_mode = mode_named (words[0]);
  else if (strcmp (word, "wait") == 0)
    wait_ms (scene, atoi (words[0]));
  else if (strcmp (word, "die") == 0)
    {
      record_free (scene->nodes[node]);
      scene->nodes[node] = new_record (node, ++scene->lives[node]);
    }
  else
    g_assert_cmpstr (verdict_name (scene->verdicts[atoi (words[0])]), ==,
                     words[1]);
}

static void
test_cases (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/record.txt");

  for (guint i = 0; i < blocks->len; i++)
    {
      const GArray *block = g_ptr_array_index (blocks, i);
      struct scene scene;

      scene_begin (&scene);
      for (guint j = 0; j < block->len; j++)
        {
          const struct cases_line *line
              = &g_array_index (block, struct cases_line, j);
          char **words = g_strsplit (line->rest, " ", -1);

          g_test_message ("case %u: %s %s", i + 1, line->word, line->rest);
          run_line (&scene, line->word, words);
          g_strfreev (words);
        }
      scene_end (&scene);
    }
  g_ptr_array_unref (blocks);
}

/* Records begun and ended at one node, against the writes to the table that
   this took.  */
static void
test_group_commit (void)
{
  static const unsigned rates[] = { 10, 100, 1000, 5000 }; /* a second */

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct scene scene;
      unsigned begun = 0;

      scene_begin (&scene);
      for (int ms = 0; ms < 1000; ms++)
        {
          for (; begun < rates[i] * (unsigned)(ms + 1) / 1000; begun++)
            {
              char key[20];

              g_snprintf (key, sizeof key, "k%u", begun);
              begin (&scene, 0, 100 + begun, key, 1, 10000);
              if (begun >= 50)
                end (&scene, 0, 100 + begun - 50, "whole", 200);
            }
          wait_ms (&scene, 1);
        }
      wait_ms (&scene, 100);
      g_test_message ("%u records/s: %u table writes/s", rates[i], scene.txns);
      g_assert_cmpuint (scene.given, ==, begun);
      g_assert_cmpuint (scene.txns, <=, 170);
      scene_end (&scene);
    }
}

/* After the retention time rows and their objects are gone.  */
static void
test_cleaning (void)
{
  struct scene scene;
  char *row;

  scene_begin (&scene);
  begin (&scene, 0, 1, "k", 1, 10000);
  wait_ms (&scene, 20);
  end (&scene, 0, 1, "whole", 100000);
  wait_ms (&scene, 20);
  row = record_row_key ("t", "k");
  g_assert_nonnull (fake_table_row (&scene.table, row));
  g_assert_cmpuint (g_hash_table_size (scene.objects), ==, 1);
  wait_ms (&scene, 60000);
  g_assert_nonnull (fake_table_row (&scene.table, row));
  scene.now = ts_add_ms (scene.now, (RECORD_RETENTION_S + 1) * TS_MS_PER_S);
  for (int i = 0; i < 100 && fake_table_row (&scene.table, row) != NULL; i++)
    wait_ms (&scene, RECORD_CLEAN_MS * 300);
  g_assert_null (fake_table_row (&scene.table, row));
  wait_ms (&scene, 100);
  g_assert_cmpuint (g_hash_table_size (scene.objects), ==, 0);
  g_free (row);
  scene_end (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/record/cases", test_cases);
  g_test_add_func ("/record/group_commit", test_group_commit);
  g_test_add_func ("/record/cleaning", test_cleaning);
  return g_test_run ();
}
