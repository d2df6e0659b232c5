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
#define ROUND_TRIP_MS 5 /* to the fake table */

enum service_mode
{
  MODE_UP,
  MODE_DOWN,
  MODE_LOSE_RESPONSES /* effects happen, responses are lost */
};

struct pending
{
  unsigned node;
  unsigned incarnation;
  struct timespec at;
  struct action *action;
};

struct sim
{
  struct fake_table table;
  GHashTable *objects; /* key -> GBytes */
  struct record *nodes[NODES];
  unsigned incarnations[NODES];
  GQueue pending;
  struct timespec now;
  enum service_mode table_mode;
  enum service_mode objects_mode;
  int verdicts[REQUESTS]; /* enum msg_verdict; -1: none */
  size_t response_length[REQUESTS];
  unsigned verdicts_given;
  unsigned txns;
};

static struct record *
new_record (unsigned node, unsigned incarnation)
{
  char name[] = { (char)('a' + node), 0 };
  struct record_options options = { .node = name,
                                    .start = incarnation + 1,
                                    .epoch = { .tv_sec = EPOCH_S } };

  return record_new (&options);
}

static void
sim_init (struct sim *sim)
{
  memset (sim, 0, sizeof *sim);
  fake_table_init (&sim->table);
  sim->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_bytes_unref);
  g_queue_init (&sim->pending);
  sim->now = ts_from_ms (1000);
  for (unsigned i = 0; i < NODES; i++)
    sim->nodes[i] = new_record (i, 0);
  for (unsigned i = 0; i < REQUESTS; i++)
    sim->verdicts[i] = -1;
}

static void
pending_free (gpointer pointer)
{
  action_free (((struct pending *)pointer)->action);
  g_free (pointer);
}

static void
sim_free (struct sim *sim)
{
  g_queue_clear_full (&sim->pending, pending_free);
  for (unsigned i = 0; i < NODES; i++)
    record_free (sim->nodes[i]);
  g_hash_table_destroy (sim->objects);
  fake_table_clear (&sim->table);
}

static void
record_verdict (struct sim *sim, const struct record_action_verdict *verdict)
{
  sim->verdicts_given++;
  if (verdict->request >= REQUESTS)
    return;
  g_assert_cmpint (sim->verdicts[verdict->request], ==, -1);
  sim->verdicts[verdict->request] = (int)verdict->verdict;
  sim->response_length[verdict->request] = verdict->length;
}

static void
collect_actions (struct sim *sim, unsigned node, struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    {
      struct pending *pending;

      if (action->type == RECORD_VERDICT)
        {
          record_verdict (sim, (struct record_action_verdict *)action);
          action_free (action);
          continue;
        }
      sim->txns += action->type == RECORD_TXN;
      pending = g_new (struct pending, 1);
      *pending
          = (struct pending){ node, sim->incarnations[node],
                              ts_add_ms (sim->now, ROUND_TRIP_MS), action };
      g_queue_push_tail (&sim->pending, pending);
    }
}

static enum platform_status
status_of (enum service_mode mode)
{
  return mode == MODE_UP     ? PLATFORM_OK
         : mode == MODE_DOWN ? PLATFORM_REFUSED
                             : PLATFORM_UNKNOWN;
}

static void
complete_txn (struct sim *sim, struct record *record, struct action *action,
              struct action_list *list)
{
  const struct platform_txn *txn = &((struct batch_action *)action)->txn;
  enum platform_status status = status_of (sim->table_mode);
  struct platform_rows rows = { 0 };

  if (sim->table_mode == MODE_LOSE_RESPONSES)
    fake_table_txn (&sim->table, txn, NULL);
  else if (sim->table_mode == MODE_UP)
    status = fake_table_txn (&sim->table, txn, &rows);
  record_txn_done (record, txn->token, status, &rows, sim->now, list);
  fake_rows_clear (&rows);
}

static void
complete_scan (struct sim *sim, struct record *record, struct action *action,
               struct action_list *list)
{
  const struct record_action_scan *scan
      = (const struct record_action_scan *)action;
  struct platform_rows rows = { 0 };

  if (sim->table_mode == MODE_UP)
    fake_table_scan (&sim->table, scan->prefix, scan->limit, &rows);
  record_scan_done (record, scan->prefix, status_of (sim->table_mode), &rows,
                    sim->now, list);
  fake_rows_clear (&rows);
}

static void
complete_object (struct sim *sim, struct record *record, struct action *action,
                 struct action_list *list)
{
  const struct record_action_object *object
      = (const struct record_action_object *)action;
  enum platform_status status = status_of (sim->objects_mode);
  GBytes *bytes = NULL;
  gsize length = 0;
  const void *data = NULL;

  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_PUT)
    g_hash_table_replace (sim->objects, g_strdup (object->key),
                          g_bytes_new (object->bytes, object->length));
  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_DELETE)
    g_hash_table_remove (sim->objects, object->key);
  if (status == PLATFORM_OK && action->type == RECORD_OBJECT_GET)
    {
      bytes = g_hash_table_lookup (sim->objects, object->key);
      data = bytes != NULL ? g_bytes_get_data (bytes, &length) : NULL;
      status = bytes != NULL ? PLATFORM_OK : PLATFORM_NOT_FOUND;
    }
  record_object_done (record, (enum record_action_type)action->type,
                      object->key, status, data, length, sim->now, list);
}

static void
deliver_result (struct sim *sim, struct pending *pending)
{
  struct record *record = sim->nodes[pending->node];
  struct action_list list;

  action_list_init (&list);
  if (sim->incarnations[pending->node] != pending->incarnation)
    g_debug ("result for an earlier incarnation of the node");
  else if (pending->action->type == RECORD_TXN)
    complete_txn (sim, record, pending->action, &list);
  else if (pending->action->type == RECORD_SCAN)
    complete_scan (sim, record, pending->action, &list);
  else
    complete_object (sim, record, pending->action, &list);
  collect_actions (sim, pending->node, &list);
  pending_free (pending);
}

static void
wait_ms (struct sim *sim, int64_t ms)
{
  struct timespec until = ts_add_ms (sim->now, ms);

  for (; ts_before (sim->now, until); sim->now = ts_add_ms (sim->now, 1))
    {
      struct pending *first;

      while ((first = g_queue_peek_head (&sim->pending)) != NULL
             && !ts_before (sim->now, first->at))
        deliver_result (sim, g_queue_pop_head (&sim->pending));
      for (unsigned node = 0; node < NODES; node++)
        {
          struct action_list list;

          action_list_init (&list);
          if (!ts_before (sim->now, record_next (sim->nodes[node])))
            record_tick (sim->nodes[node], sim->now, &list);
          collect_actions (sim, node, &list);
        }
    }
}

static void
begin (struct sim *sim, unsigned node, uint64_t id, const char *key,
       uint64_t fingerprint, int64_t deadline_ms)
{
  struct record_request request = {
    .key = key, .target = "t", .fingerprint = fingerprint, .request = id
  };
  struct action_list list;

  request.deadline = ts_add_ms (sim->now, deadline_ms);
  action_list_init (&list);
  record_begin (sim->nodes[node], &request, sim->now, &list);
  collect_actions (sim, node, &list);
}

static void
end (struct sim *sim, unsigned node, uint64_t id, const char *result,
     size_t length)
{
  char *body = g_strnfill (length, 'x');
  struct record_outcome outcome
      = { .ran = strcmp (result, "not_run") != 0,
          .complete = strcmp (result, "complete") == 0,
          .status = 200,
          .body = body,
          .length = length };
  struct action_list list;

  action_list_init (&list);
  record_end (sim->nodes[node], 0, id, &outcome, sim->now, &list);
  collect_actions (sim, node, &list);
  g_free (body);
}

static void
disconnect_caller (struct sim *sim, unsigned node, uint64_t id)
{
  struct action_list list;

  action_list_init (&list);
  record_cancel (sim->nodes[node], 0, id, sim->now, &list);
  collect_actions (sim, node, &list);
}

static void
set_nodes (struct sim *sim, char **names)
{
  for (unsigned node = 0; node < NODES; node++)
    record_set_members (sim->nodes[node], (const char *const *)names,
                        g_strv_length (names));
}

static const char *
verdict_name (int verdict)
{
  static const char *const names[]
      = { "none", "run", "recorded", "mismatch", "unknown", "not_run" };

  return names[verdict + 1];
}

static enum service_mode
parse_mode (const char *name)
{
  return strcmp (name, "up") == 0     ? MODE_UP
         : strcmp (name, "down") == 0 ? MODE_DOWN
                                      : MODE_LOSE_RESPONSES;
}

static void
run_line (struct sim *sim, const char *word, char **words)
{
  unsigned node = (unsigned)(words[0][0] - 'a');
  unsigned n = g_strv_length (words);
  uint64_t id = n > 1 ? g_ascii_strtoull (words[1], NULL, 10) : 0;

  if (strcmp (word, "begin") == 0)
    begin (sim, node, id, words[2], g_ascii_strtoull (words[3], NULL, 10),
           n > 4 ? atoi (words[4]) : 30000);
  else if (strcmp (word, "end") == 0)
    end (sim, node, id, words[2],
         n > 3 ? g_ascii_strtoull (words[3], NULL, 10) : 10);
  else if (strcmp (word, "disconnect") == 0)
    disconnect_caller (sim, node, id);
  else if (strcmp (word, "nodes") == 0)
    set_nodes (sim, words);
  else if (strcmp (word, "table") == 0)
    sim->table_mode = parse_mode (words[0]);
  else if (strcmp (word, "objects") == 0)
    sim->objects_mode = parse_mode (words[0]);
  else if (strcmp (word, "wait") == 0)
    wait_ms (sim, atoi (words[0]));
  else if (strcmp (word, "restart") == 0)
    {
      record_free (sim->nodes[node]);
      sim->nodes[node] = new_record (node, ++sim->incarnations[node]);
    }
  else
    g_assert_cmpstr (verdict_name (sim->verdicts[atoi (words[0])]), ==,
                     words[1]);
}

static void
test_cases (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/record.txt");

  for (guint i = 0; i < blocks->len; i++)
    {
      const GArray *block = g_ptr_array_index (blocks, i);
      struct sim sim;

      sim_init (&sim);
      for (guint j = 0; j < block->len; j++)
        {
          const struct cases_line *line
              = &g_array_index (block, struct cases_line, j);
          char **words = g_strsplit (line->rest, " ", -1);

          g_test_message ("case %u: %s %s", i + 1, line->word, line->rest);
          run_line (&sim, line->word, words);
          g_strfreev (words);
        }
      sim_free (&sim);
    }
  g_ptr_array_unref (blocks);
}

/* Group commit bounds the number of table writes, whatever the rate of
   records at one node.  */
static void
test_group_commit (void)
{
  static const unsigned rates[] = { 10, 100, 1000, 5000 }; /* per second */

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct sim sim;
      unsigned begun = 0;

      sim_init (&sim);
      for (int ms = 0; ms < 1000; ms++)
        {
          for (; begun < rates[i] * (unsigned)(ms + 1) / 1000; begun++)
            {
              char key[20];

              g_snprintf (key, sizeof key, "k%u", begun);
              begin (&sim, 0, 100 + begun, key, 1, 10000);
              if (begun >= 50)
                end (&sim, 0, 100 + begun - 50, "complete", 200);
            }
          wait_ms (&sim, 1);
        }
      wait_ms (&sim, 100);
      g_test_message ("%u records/s: %u table writes/s", rates[i], sim.txns);
      g_assert_cmpuint (sim.verdicts_given, ==, begun);
      g_assert_cmpuint (sim.txns, <=, 170);
      sim_free (&sim);
    }
}

/* Rows and their objects are deleted after the retention time.  */
static void
test_retention (void)
{
  struct sim sim;
  char *row;

  sim_init (&sim);
  begin (&sim, 0, 1, "k", 1, 10000);
  wait_ms (&sim, 20);
  end (&sim, 0, 1, "complete", 100000);
  wait_ms (&sim, 20);
  row = record_row_key ("t", "k");
  g_assert_nonnull (fake_table_row (&sim.table, row));
  g_assert_cmpuint (g_hash_table_size (sim.objects), ==, 1);
  wait_ms (&sim, 60000);
  g_assert_nonnull (fake_table_row (&sim.table, row));
  sim.now = ts_add_ms (sim.now, (RECORD_RETENTION_S + 1) * TS_MS_PER_S);
  for (int i = 0; i < 100 && fake_table_row (&sim.table, row) != NULL; i++)
    wait_ms (&sim, RECORD_CLEAN_INTERVAL_MS * 300);
  g_assert_null (fake_table_row (&sim.table, row));
  wait_ms (&sim, 100);
  g_assert_cmpuint (g_hash_table_size (sim.objects), ==, 0);
  g_free (row);
  sim_free (&sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/record/cases", test_cases);
  g_test_add_func ("/record/group_commit", test_group_commit);
  g_test_add_func ("/record/retention", test_retention);
  return g_test_run ();
}
