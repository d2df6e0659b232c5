#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "confsync.h"
#include "fake_table.h"
#include "ts.h"

#define NODES 5
#define TABLE_MS 10 /* from request to response */
#define PEER_MS 2
#define EDITS 200
#define EDIT_EVERY_MS 400

struct packet
{
  int64_t arrives_at;
  unsigned from;
  unsigned to;
  enum confsync_action_type type;
  uint64_t number;
  char *prefix;
  size_t limit;
  struct platform_txn *txn;
  struct confupdate update;
};

struct cluster
{
  int64_t ms;
  struct fake_table table;
  struct confsync *nodes[NODES];
  bool paused[NODES];
  bool cut_off[NODES]; /* from the table, not from the peers */
  GPtrArray *packets;
  GRand *rand;
  int64_t accepted_at[EDITS + 2];       /* for each version: accepted */
  int64_t applied_by_all_at[EDITS + 2]; /* for each version: applied by the
                                           last node */
  unsigned outcomes[CONFSYNC_IN_DOUBT + 1];
  uint64_t applied_version[NODES];
  bool measure[NODES];
};

static struct timespec
now (const struct cluster *cluster)
{
  return ts_from_ms (cluster->ms);
}

static void
packet_free (void *data)
{
  struct packet *packet = data;

  if (packet->txn != NULL)
    fake_txn_free (packet->txn);
  confupdate_clear (&packet->update);
  g_free (packet->prefix);
  g_free (packet);
}

static void
send (struct cluster *cluster, unsigned from, unsigned to,
      struct confsync_action *action)
{
  struct packet *packet = g_new0 (struct packet, 1);

  packet->type = (enum confsync_action_type)action->action.type;
  packet->arrives_at
      = cluster->ms + (packet->type <= CONFSYNC_TXN ? TABLE_MS : PEER_MS);
  packet->from = from;
  packet->to = to;
  packet->number
      = packet->type == CONFSYNC_TXN ? action->attempt : action->version;
  packet->prefix = g_strdup (action->prefix);
  packet->limit = action->limit;
  if (packet->type == CONFSYNC_TXN)
    packet->txn = fake_txn_copy (&action->txn);
  packet->update = action->update;
  memset (&action->update, 0, sizeof action->update);
  g_ptr_array_add (cluster->packets, packet);
}

static void
record_applied (struct cluster *cluster, unsigned i, uint64_t version)
{
  for (uint64_t v = cluster->applied_version[i] + 1; v <= version; v++)
    if (cluster->measure[i])
      cluster->applied_by_all_at[v]
          = MAX (cluster->applied_by_all_at[v], cluster->ms);
  cluster->applied_version[i] = version;
}

static void
run_actions (struct cluster *cluster, unsigned i, struct action_list *list)
{
  struct confsync_action *action;

  while ((action = (struct confsync_action *)action_pop (list)) != NULL)
    {
      if (action->action.type == CONFSYNC_APPLY)
        record_applied (cluster, i, action->version);
      else if (action->action.type == CONFSYNC_EDIT_DONE)
        cluster->outcomes[action->status]++;
      else if (action->action.type == CONFSYNC_ANNOUNCE)
        {
          for (unsigned j = 0; j < NODES; j++)
            if (j != i)
              send (cluster, i, j, action);
        }
      else if (action->action.type <= CONFSYNC_TXN)
        send (cluster, i, i, action);
      else if (action->node != NULL)
        send (cluster, i, (unsigned)atoi (action->node), action);
      action_free (&action->action);
    }
}

static enum platform_status
serve_table (struct cluster *cluster, struct packet *packet,
             struct platform_rows *rows)
{
  enum platform_status status = PLATFORM_OK;
  const struct platform_row *head;

  if (cluster->cut_off[packet->from])
    return PLATFORM_REFUSED;
  if (packet->txn == NULL)
    {
      fake_table_scan (&cluster->table, packet->prefix, packet->limit, rows);
      return PLATFORM_OK;
    }
  status = fake_table_txn (&cluster->table, packet->txn, rows);
  head = fake_table_row (&cluster->table, CONFSET_ROW);
  if (status == PLATFORM_OK)
    cluster->accepted_at[confset_row_version (head->value)] = cluster->ms;
  return status;
}

static void
deliver (struct cluster *cluster, struct packet *packet)
{
  struct confsync *node = cluster->nodes[packet->to];
  struct platform_rows rows = { 0 };
  struct action_list list;
  char from[8];
  enum platform_status status;

  action_list_init (&list);
  g_snprintf (from, sizeof from, "%u", packet->from);
  if (packet->type == CONFSYNC_ANNOUNCE)
    confsync_peer_version (node, from, packet->number, now (cluster), &list);
  else if (packet->type == CONFSYNC_REQUEST)
    confsync_peer_request (node, from, packet->number, &list);
  else if (packet->type == CONFSYNC_SEND_UPDATE)
    confsync_peer_update (node, from, &packet->update, now (cluster), &list);
  else
    {
      status = serve_table (cluster, packet, &rows);
      if (packet->type == CONFSYNC_POLL)
        confsync_polled (node, status, &rows, now (cluster), &list);
      else if (packet->type == CONFSYNC_SCAN)
        confsync_scanned (node, status, &rows, now (cluster), &list);
      else
        confsync_txn_done (node, packet->number, status, &rows, now (cluster),
                           &list);
    }
  fake_rows_clear (&rows);
  run_actions (cluster, packet->to, &list);
}

static void
step (struct cluster *cluster)
{
  struct action_list list;

  cluster->ms++;
  action_list_init (&list);
  for (guint k = 0; k < cluster->packets->len;)
    {
      struct packet *packet = cluster->packets->pdata[k];

      if (packet->arrives_at > cluster->ms || cluster->paused[packet->to])
        {
          k++;
          continue;
        }
      g_ptr_array_steal_index (cluster->packets, k);
      deliver (cluster, packet);
      packet_free (packet);
    }
  for (unsigned i = 0; i < NODES; i++)
    if (!cluster->paused[i])
      {
        confsync_tick (cluster->nodes[i], now (cluster), &list);
        run_actions (cluster, i, &list);
      }
}

static struct cluster *
cluster_new (void)
{
  struct cluster *cluster = g_new0 (struct cluster, 1);

  fake_table_init (&cluster->table);
  cluster->ms = 1000;
  cluster->rand = g_rand_new_with_seed (1);
  cluster->packets = g_ptr_array_new_with_free_func (packet_free);
  for (unsigned i = 0; i < NODES; i++)
    {
      char name[8];
      struct confsync_options options
          = { .node = name, .incarnation = 1, .rand = cluster->rand };

      g_snprintf (name, sizeof name, "%u", i);
      cluster->nodes[i] = confsync_new (&options);
      confsync_set_poller (cluster->nodes[i], i < 2);
      cluster->measure[i] = true;
    }
  return cluster;
}

static void
cluster_free (struct cluster *cluster)
{
  for (unsigned i = 0; i < NODES; i++)
    confsync_free (cluster->nodes[i]);
  g_ptr_array_unref (cluster->packets);
  g_rand_free (cluster->rand);
  fake_table_clear (&cluster->table);
  g_free (cluster);
}

static void
edit (struct cluster *cluster, unsigned i, const char *team, unsigned value)
{
  const struct confsync_section *section
      = confsync_section (cluster->nodes[i], team);
  struct action_list list;
  char text[32];

  action_list_init (&list);
  g_snprintf (text, sizeof text, "{\"x\":%u}", value);
  confsync_edit (cluster->nodes[i], value, team, text,
                 section != NULL ? section->version : 0, now (cluster), &list);
  run_actions (cluster, i, &list);
}

static int
compare (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Two operators edit at the same time on two nodes, half of the time the same
   section.  One node cannot reach the table; another is paused now and then
   and is left out of the measurement.  */
static void
test_racing_edits (void)
{
  struct cluster *cluster = cluster_new ();
  int64_t times[EDITS + 2];
  unsigned count = 0;
  uint64_t version;

  cluster->cut_off[3] = true;
  for (unsigned e = 0; e < EDITS; e += 2)
    {
      edit (cluster, e % 3, "a", e + 1);
      edit (cluster, (e + 1) % 3, e % 4 == 0 ? "a" : "b", e + 2);
      cluster->paused[4] = e % 20 < 10;
      cluster->measure[4] = false;
      for (int64_t i = 0; i < EDIT_EVERY_MS; i++)
        step (cluster);
    }
  cluster->paused[4] = false;
  for (int64_t i = 0; i < 4000; i++)
    step (cluster);
  version = confsync_version (cluster->nodes[0]);
  for (unsigned i = 0; i < NODES; i++)
    g_assert_cmpuint (confsync_version (cluster->nodes[i]), ==, version);
  for (uint64_t v = 1; v <= version; v++)
    times[count++] = cluster->applied_by_all_at[v] - cluster->accepted_at[v];
  qsort (times, count, sizeof *times, compare);
  g_test_message ("%d racing edits: %u accepted, %u conflicts; in force at "
                  "the last node after p50 %" PRId64 " ms, max %" PRId64 " ms",
                  EDITS, cluster->outcomes[CONFSYNC_ACCEPTED],
                  cluster->outcomes[CONFSYNC_CONFLICT], times[count / 2],
                  times[count - 1]);
  g_assert_cmpuint (cluster->outcomes[CONFSYNC_ACCEPTED], ==, version);
  g_assert_cmpuint (cluster->outcomes[CONFSYNC_ACCEPTED]
                        + cluster->outcomes[CONFSYNC_CONFLICT],
                    ==, EDITS);
  g_assert_cmpint (times[count - 1], <, 4000);
  cluster_free (cluster);
}

/* A node that resumes after a pause catches up within 4 s, even if it missed
   the announcement.  */
static void
test_pause (void)
{
  struct cluster *cluster = cluster_new ();
  int64_t slowest_ms = 0;

  for (unsigned i = 0; i < 50; i++)
    {
      int64_t from;

      cluster->paused[4] = true;
      edit (cluster, 0, "a", i + 1);
      for (int64_t t = 0; t < 3000; t++)
        step (cluster);
      cluster->paused[4] = false;
      from = cluster->ms;
      while (confsync_version (cluster->nodes[4]) < i + 1
             && cluster->ms < from + 4000)
        step (cluster);
      g_assert_cmpuint (confsync_version (cluster->nodes[4]), ==, i + 1);
      slowest_ms = MAX (slowest_ms, cluster->ms - from);
    }
  g_test_message ("after a pause: at most %" PRId64 " ms", slowest_ms);
  cluster_free (cluster);
}

/* A section that an update does not contain is taken from the old
   configuration only in exactly the version that the update lists.  */
static void
test_no_mixture (void)
{
  struct confsync_section old[] = { { "a", "1", 1 }, { "b", "1", 1 } };
  struct confsync_section delta[] = { { "a", NULL, 2 }, { "b", "3", 3 } };
  struct confupdate first = { 1, 0, old, 2 };
  struct confupdate second = { 3, 2, delta, 2 };
  struct cluster *cluster = cluster_new ();
  struct action_list list;

  action_list_init (&list);
  confsync_peer_update (cluster->nodes[0], "1", &first, now (cluster), &list);
  g_assert_cmpuint (confsync_version (cluster->nodes[0]), ==, 1);
  confsync_peer_update (cluster->nodes[0], "1", &second, now (cluster), &list);
  g_assert_cmpuint (confsync_version (cluster->nodes[0]), ==, 1);
  delta[0].text = (char *)"2";
  confsync_peer_update (cluster->nodes[0], "1", &second, now (cluster), &list);
  g_assert_cmpuint (confsync_version (cluster->nodes[0]), ==, 3);
  action_list_clear (&list);
  cluster_free (cluster);
}

/* A node that starts while the table is unreachable gets the configuration
   from a peer at once.  It reads the snapshot only if there is no peer either,
   and applies it only if it is newer.  */
static void
test_start_without_table (void)
{
  const char *snapshot
      = "{\"version\":5,\"sections\":[{\"team\":\"a\",\"text\":\"1\","
        "\"version\":5}]}";
  struct cluster *cluster = cluster_new ();
  struct confsync *late = cluster->nodes[4];
  struct action_list list;
  int64_t from;

  action_list_init (&list);
  cluster->cut_off[4] = true;
  cluster->paused[4] = true;
  edit (cluster, 0, "a", 1);
  edit (cluster, 1, "b", 2);
  for (int64_t i = 0; i < 2000; i++)
    step (cluster);
  g_ptr_array_set_size (cluster->packets, 0);
  cluster->paused[4] = false;
  from = cluster->ms;
  confsync_peer_version (late, "0", 2, now (cluster), &list);
  run_actions (cluster, 4, &list);
  while (confsync_version (late) < 2 && cluster->ms < from + 1000)
    step (cluster);
  g_assert_cmpuint (confsync_version (late), ==, 2);
  confsync_snapshot_read (late, snapshot, strlen (snapshot), now (cluster),
                          &list);
  g_assert_cmpuint (confsync_version (late), ==, 5);
  confsync_snapshot_read (late, "{\"version\":3}", 13, now (cluster), &list);
  g_assert_cmpuint (confsync_version (late), ==, 5);
  action_list_clear (&list);
  cluster_free (cluster);
}

/* All nodes have version 1 except the last, which starts now and cannot reach
   the table.  */
static void
start_last_node (struct cluster *cluster)
{
  cluster->cut_off[4] = true;
  cluster->paused[4] = true;
  edit (cluster, 0, "a", 1);
  for (int64_t i = 0; i < 2000; i++)
    step (cluster);
  g_ptr_array_set_size (cluster->packets, 0);
  cluster->paused[4] = false;
}

/* Checks that the last node gets version 1 from a peer; frees CLUSTER.  */
static void
check_last_node (struct cluster *cluster)
{
  int64_t from = cluster->ms;

  while (confsync_version (cluster->nodes[4]) < 1 && cluster->ms < from + 2000)
    step (cluster);
  g_assert_cmpuint (confsync_version (cluster->nodes[4]), ==, 1);
  cluster_free (cluster);
}

/* The table is unreachable and the first request is lost, as there is no link
   to that node yet.  Another node announces the version while the request is
   pending, and none does afterwards: the request must be repeated.  */
static void
test_request_lost (void)
{
  struct cluster *cluster = cluster_new ();
  struct confsync *late = cluster->nodes[4];
  struct action_list list;

  action_list_init (&list);
  start_last_node (cluster);
  confsync_peer_version (late, "0", 1, now (cluster), &list);
  action_list_clear (&list);
  cluster->ms += 100;
  confsync_peer_version (late, "1", 1, now (cluster), &list);
  run_actions (cluster, 4, &list);
  check_last_node (cluster);
}

/* The node that announced the highest version is gone; another one has a
   version that is lower, but newer than the node's own.  */
static void
test_announcer_gone (void)
{
  struct cluster *cluster = cluster_new ();
  struct confsync *late = cluster->nodes[4];
  struct action_list list;

  action_list_init (&list);
  start_last_node (cluster);
  confsync_peer_version (late, "0", 2, now (cluster), &list);
  action_list_clear (&list);
  confsync_peer_version (late, "1", 1, now (cluster), &list);
  run_actions (cluster, 4, &list);
  check_last_node (cluster);
}

static void
test_snapshot_requested (void)
{
  struct cluster *cluster = cluster_new ();
  struct confsync *node = cluster->nodes[0];
  struct action_list list;
  struct action *action;
  unsigned requests = 0;

  action_list_init (&list);
  for (unsigned i = 0; i < 1000; i++)
    {
      cluster->ms += 10;
      confsync_tick (node, now (cluster), &list);
      while ((action = action_pop (&list)) != NULL)
        {
          if (action->type == CONFSYNC_SNAPSHOT_GET)
            {
              requests++;
              g_assert_cmpint (cluster->ms, >=, 4000);
            }
          if (action->type == CONFSYNC_POLL)
            confsync_polled (node, PLATFORM_REFUSED, NULL, now (cluster),
                             &list);
          action_free (action);
        }
    }
  g_assert_cmpuint (requests, ==, 1);
  cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/confsync/racing-edits", test_racing_edits);
  g_test_add_func ("/confsync/pause", test_pause);
  g_test_add_func ("/confsync/no-mixture", test_no_mixture);
  g_test_add_func ("/confsync/start-without-table", test_start_without_table);
  g_test_add_func ("/confsync/request-lost", test_request_lost);
  g_test_add_func ("/confsync/announcer-gone", test_announcer_gone);
  g_test_add_func ("/confsync/snapshot-requested", test_snapshot_requested);
  return g_test_run ();
}
