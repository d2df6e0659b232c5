#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "confsync.h"
#include "fake_table.h"
#include "ts.h"

#define NODES 5
#define TABLE_MS 10 /* from request to answer */
#define PEER_MS 2
#define EDITS 200
#define EDIT_EVERY_MS 400

struct wire
{
  int64_t at;
  unsigned from;
  unsigned to;
  enum confsync_action_type type;
  uint64_t number;
  char *prefix;
  size_t limit;
  struct platform_txn *txn;
  struct confupdate update;
};

struct world
{
  int64_t ms;
  struct fake_table table;
  struct confsync *nodes[NODES];
  bool paused[NODES];
  bool cut_off[NODES]; /* from the table, not from peers */
  GPtrArray *wires;
  GRand *rand;
  int64_t accepted_at[EDITS + 2]; /* of each version */
  int64_t worst[EDITS + 2];       /* until the last node had it */
  unsigned answers[CONFSYNC_IN_DOUBT + 1];
  uint64_t had[NODES];
  bool measure[NODES];
};

static struct timespec
now (const struct world *world)
{
  return ts_from_ms (world->ms);
}

static void
wire_free (void *data)
{
  struct wire *wire = data;

  if (wire->txn != NULL)
    fake_txn_free (wire->txn);
  confupdate_clear (&wire->update);
  g_free (wire->prefix);
  g_free (wire);
}

static void
post (struct world *world, unsigned from, unsigned to,
      struct confsync_action *action)
{
  struct wire *wire = g_new0 (struct wire, 1);

  wire->type = (enum confsync_action_type)action->action.type;
  wire->at = world->ms + (wire->type <= CONFSYNC_TXN ? TABLE_MS : PEER_MS);
  wire->from = from;
  wire->to = to;
  wire->number
      = wire->type == CONFSYNC_TXN ? action->attempt : action->version;
  wire->prefix = g_strdup (action->prefix);
  wire->limit = action->limit;
  if (wire->type == CONFSYNC_TXN)
    wire->txn = fake_txn_copy (&action->txn);
  wire->update = action->update;
  memset (&action->update, 0, sizeof action->update);
  g_ptr_array_add (world->wires, wire);
}

static void
note_applied (struct world *world, unsigned i, uint64_t version)
{
  for (uint64_t v = world->had[i] + 1; v <= version; v++)
    if (world->measure[i])
      world->worst[v] = MAX (world->worst[v], world->ms);
  world->had[i] = version;
}

static void
act (struct world *world, unsigned i, struct action_list *list)
{
  struct confsync_action *action;

  while ((action = (struct confsync_action *)action_pop (list)) != NULL)
    {
      if (action->action.type == CONFSYNC_APPLY)
        note_applied (world, i, action->version);
      else if (action->action.type == CONFSYNC_EDIT_DONE)
        world->answers[action->status]++;
      else if (action->action.type == CONFSYNC_ANNOUNCE)
        {
          for (unsigned j = 0; j < NODES; j++)
            if (j != i)
              post (world, i, j, action);
        }
      else if (action->action.type <= CONFSYNC_TXN)
        post (world, i, i, action);
      else if (action->node != NULL)
        post (world, i, (unsigned)atoi (action->node), action);
      action_free (&action->action);
    }
}

static enum platform_status
serve (struct world *world, struct wire *wire, struct platform_rows *rows)
{
  enum platform_status status = PLATFORM_OK;
  const struct platform_row *head;

  if (world->cut_off[wire->from])
    return PLATFORM_REFUSED;
  if (wire->txn == NULL)
    {
      fake_table_scan (&world->table, wire->prefix, wire->limit, rows);
      return PLATFORM_OK;
    }
  status = fake_table_txn (&world->table, wire->txn, rows);
  head = fake_table_row (&world->table, CONFSET_ROW);
  if (status == PLATFORM_OK)
    world->accepted_at[confset_row_version (head->value)] = world->ms;
  return status;
}

static void
arrive (struct world *world, struct wire *wire)
{
  struct confsync *node = world->nodes[wire->to];
  struct platform_rows rows = { 0 };
  struct action_list list;
  char from[8];
  enum platform_status status;

  action_list_init (&list);
  g_snprintf (from, sizeof from, "%u", wire->from);
  if (wire->type == CONFSYNC_ANNOUNCE)
    confsync_peer_version (node, from, wire->number, now (world), &list);
  else if (wire->type == CONFSYNC_REQUEST)
    confsync_peer_request (node, from, wire->number, &list);
  else if (wire->type == CONFSYNC_SEND_UPDATE)
    confsync_peer_update (node, from, &wire->update, now (world), &list);
  else
    {
      status = serve (world, wire, &rows);
      if (wire->type == CONFSYNC_POLL)
        confsync_polled (node, status, &rows, now (world), &list);
      else if (wire->type == CONFSYNC_SCAN)
        confsync_scanned (node, status, &rows, now (world), &list);
      else
        confsync_txn_done (node, wire->number, status, &rows, now (world),
                           &list);
    }
  fake_rows_clear (&rows);
  act (world, wire->to, &list);
}

static void
step (struct world *world)
{
  struct action_list list;

  world->ms++;
  action_list_init (&list);
  for (guint k = 0; k < world->wires->len;)
    {
      struct wire *wire = world->wires->pdata[k];

      if (wire->at > world->ms || world->paused[wire->to])
        {
          k++;
          continue;
        }
      g_ptr_array_steal_index (world->wires, k);
      arrive (world, wire);
      wire_free (wire);
    }
  for (unsigned i = 0; i < NODES; i++)
    if (!world->paused[i])
      {
        confsync_tick (world->nodes[i], now (world), &list);
        act (world, i, &list);
      }
}

static struct world *
world_new (void)
{
  struct world *world = g_new0 (struct world, 1);

  fake_table_init (&world->table);
  world->ms = 1000;
  world->rand = g_rand_new_with_seed (1);
  world->wires = g_ptr_array_new_with_free_func (wire_free);
  for (unsigned i = 0; i < NODES; i++)
    {
      char name[8];
      struct confsync_options options
          = { .node = name, .incarnation = 1, .rand = world->rand };

      g_snprintf (name, sizeof name, "%u", i);
      world->nodes[i] = confsync_new (&options);
      confsync_set_poller (world->nodes[i], i < 2);
      world->measure[i] = true;
    }
  return world;
}

static void
world_free (struct world *world)
{
  for (unsigned i = 0; i < NODES; i++)
    confsync_free (world->nodes[i]);
  g_ptr_array_unref (world->wires);
  g_rand_free (world->rand);
  fake_table_clear (&world->table);
  g_free (world);
}

static void
edit (struct world *world, unsigned i, const char *team, unsigned value)
{
  const struct confsync_section *section
      = confsync_section (world->nodes[i], team);
  struct action_list list;
  char text[32];

  action_list_init (&list);
  g_snprintf (text, sizeof text, "{\"x\":%u}", value);
  confsync_edit (world->nodes[i], value, team, text,
                 section != NULL ? section->version : 0, now (world), &list);
  act (world, i, &list);
}

static int
compare (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Two operators edit at once at two nodes, half of the time the same section;
   one node is cut off from the table, another is paused now and then, whose
   pauses don't count.  */
static void
test_racing_edits (void)
{
  struct world *world = world_new ();
  int64_t times[EDITS + 2];
  unsigned count = 0;
  uint64_t version;

  world->cut_off[3] = true;
  for (unsigned e = 0; e < EDITS; e += 2)
    {
      edit (world, e % 3, "a", e + 1);
      edit (world, (e + 1) % 3, e % 4 == 0 ? "a" : "b", e + 2);
      world->paused[4] = e % 20 < 10;
      world->measure[4] = false;
      for (int64_t i = 0; i < EDIT_EVERY_MS; i++)
        step (world);
    }
  world->paused[4] = false;
  for (int64_t i = 0; i < 4000; i++)
    step (world);
  version = confsync_version (world->nodes[0]);
  for (unsigned i = 0; i < NODES; i++)
    g_assert_cmpuint (confsync_version (world->nodes[i]), ==, version);
  for (uint64_t v = 1; v <= version; v++)
    times[count++] = world->worst[v] - world->accepted_at[v];
  qsort (times, count, sizeof *times, compare);
  g_test_message ("%d racing edits: %u accepted, %u conflicts; in force at "
                  "the last node after p50 %" PRId64 " ms, max %" PRId64 " ms",
                  EDITS, world->answers[CONFSYNC_ACCEPTED],
                  world->answers[CONFSYNC_CONFLICT], times[count / 2],
                  times[count - 1]);
  g_assert_cmpuint (world->answers[CONFSYNC_ACCEPTED], ==, version);
  g_assert_cmpuint (world->answers[CONFSYNC_ACCEPTED]
                        + world->answers[CONFSYNC_CONFLICT],
                    ==, EDITS);
  g_assert_cmpint (times[count - 1], <, 4000);
  world_free (world);
}

/* A node whose pause ends learns within 4 s what it missed, also when it was
   not told.  */
static void
test_pause (void)
{
  struct world *world = world_new ();
  int64_t most = 0;

  for (unsigned i = 0; i < 50; i++)
    {
      int64_t from;

      world->paused[4] = true;
      edit (world, 0, "a", i + 1);
      for (int64_t t = 0; t < 3000; t++)
        step (world);
      world->paused[4] = false;
      from = world->ms;
      while (confsync_version (world->nodes[4]) < i + 1
             && world->ms < from + 4000)
        step (world);
      g_assert_cmpuint (confsync_version (world->nodes[4]), ==, i + 1);
      most = MAX (most, world->ms - from);
    }
  g_test_message ("after a pause: at most %" PRId64 " ms", most);
  world_free (world);
}

/* A section that an update leaves out is used only in the very version that
   the update names.  */
static void
test_no_mixture (void)
{
  struct confsync_section old[] = { { "a", "1", 1 }, { "b", "1", 1 } };
  struct confsync_section delta[] = { { "a", NULL, 2 }, { "b", "3", 3 } };
  struct confupdate first = { 1, 0, old, 2 };
  struct confupdate second = { 3, 2, delta, 2 };
  struct world *world = world_new ();
  struct action_list list;

  action_list_init (&list);
  confsync_peer_update (world->nodes[0], "1", &first, now (world), &list);
  g_assert_cmpuint (confsync_version (world->nodes[0]), ==, 1);
  confsync_peer_update (world->nodes[0], "1", &second, now (world), &list);
  g_assert_cmpuint (confsync_version (world->nodes[0]), ==, 1);
  delta[0].text = (char *)"2";
  confsync_peer_update (world->nodes[0], "1", &second, now (world), &list);
  g_assert_cmpuint (confsync_version (world->nodes[0]), ==, 3);
  action_list_clear (&list);
  world_free (world);
}

/* Starts while the table is away: from a peer at once; from the snapshot only
   when there is no peer either; never back from a newer version.  */
static void
test_start_without_table (void)
{
  const char *snapshot
      = "{\"version\":5,\"sections\":[{\"team\":\"a\",\"text\":\"1\","
        "\"version\":5}]}";
  struct world *world = world_new ();
  struct confsync *late = world->nodes[4];
  struct action_list list;
  int64_t from;

  action_list_init (&list);
  world->cut_off[4] = true;
  world->paused[4] = true;
  edit (world, 0, "a", 1);
  edit (world, 1, "b", 2);
  for (int64_t i = 0; i < 2000; i++)
    step (world);
  g_ptr_array_set_size (world->wires, 0);
  world->paused[4] = false;
  from = world->ms;
  confsync_peer_version (late, "0", 2, now (world), &list);
  act (world, 4, &list);
  while (confsync_version (late) < 2 && world->ms < from + 1000)
    step (world);
  g_assert_cmpuint (confsync_version (late), ==, 2);
  confsync_snapshot_read (late, snapshot, strlen (snapshot), now (world),
                          &list);
  g_assert_cmpuint (confsync_version (late), ==, 5);
  confsync_snapshot_read (late, "{\"version\":3}", 13, now (world), &list);
  g_assert_cmpuint (confsync_version (late), ==, 5);
  action_list_clear (&list);
  world_free (world);
}

/* All have version 1 but the last node, which starts now, away from the
   table.  */
static void
start_late (struct world *world)
{
  world->cut_off[4] = true;
  world->paused[4] = true;
  edit (world, 0, "a", 1);
  for (int64_t i = 0; i < 2000; i++)
    step (world);
  g_ptr_array_set_size (world->wires, 0);
  world->paused[4] = false;
}

/* It gets that version from a peer; ends the world.  */
static void
check_late (struct world *world)
{
  int64_t from = world->ms;

  while (confsync_version (world->nodes[4]) < 1 && world->ms < from + 2000)
    step (world);
  g_assert_cmpuint (confsync_version (world->nodes[4]), ==, 1);
  world_free (world);
}

/* The table is away, and the only ask goes to a node that no link leads to
   yet; a word from another one comes while that ask is open, then none.  */
static void
test_ask_lost (void)
{
  struct world *world = world_new ();
  struct confsync *late = world->nodes[4];
  struct action_list list;

  action_list_init (&list);
  start_late (world);
  confsync_peer_version (late, "0", 1, now (world), &list);
  action_list_clear (&list);
  world->ms += 100;
  confsync_peer_version (late, "1", 1, now (world), &list);
  act (world, 4, &list);
  check_late (world);
}

/* Who had the highest version is gone; another one has at least a newer.  */
static void
test_teller_gone (void)
{
  struct world *world = world_new ();
  struct confsync *late = world->nodes[4];
  struct action_list list;

  action_list_init (&list);
  start_late (world);
  confsync_peer_version (late, "0", 2, now (world), &list);
  action_list_clear (&list);
  confsync_peer_version (late, "1", 1, now (world), &list);
  act (world, 4, &list);
  check_late (world);
}

static void
test_snapshot_asked (void)
{
  struct world *world = world_new ();
  struct confsync *node = world->nodes[0];
  struct action_list list;
  struct action *action;
  unsigned asked = 0;

  action_list_init (&list);
  for (unsigned i = 0; i < 1000; i++)
    {
      world->ms += 10;
      confsync_tick (node, now (world), &list);
      while ((action = action_pop (&list)) != NULL)
        {
          if (action->type == CONFSYNC_SNAPSHOT_GET)
            {
              asked++;
              g_assert_cmpint (world->ms, >=, 4000);
            }
          if (action->type == CONFSYNC_POLL)
            confsync_polled (node, PLATFORM_REFUSED, NULL, now (world), &list);
          action_free (action);
        }
    }
  g_assert_cmpuint (asked, ==, 1);
  world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/confsync/racing-edits", test_racing_edits);
  g_test_add_func ("/confsync/pause", test_pause);
  g_test_add_func ("/confsync/no-mixture", test_no_mixture);
  g_test_add_func ("/confsync/start-without-table", test_start_without_table);
  g_test_add_func ("/confsync/ask-lost", test_ask_lost);
  g_test_add_func ("/confsync/teller-gone", test_teller_gone);
  g_test_add_func ("/confsync/snapshot-asked", test_snapshot_asked);
  return g_test_run ();
}
