#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "frame.h"
#include "member.h"
#include "membermsg.h"
#include "ts.h"

#define STEP_MS 50
#define NODES_MAX 400

/* A simulated cluster on a manual clock: messages arrive one step after they
   are sent.  */
struct cluster
{
  int64_t ms;
  unsigned count;
  struct member *nodes[NODES_MAX];
  bool dead[NODES_MAX];
  bool paused[NODES_MAX];
  double loss; /* fraction of messages lost */
  /* Whether messages from FROM to TO are lost.  */
  bool (*is_blocked) (unsigned from, unsigned to);
  GRand *rand;
  GPtrArray *packets;
  uint64_t bytes;
};

struct packet
{
  unsigned from;
  unsigned to;
  char *bytes;
  size_t length;
};

static void
packet_free (void *data)
{
  struct packet *packet = data;

  g_free (packet->bytes);
  g_free (packet);
}

static unsigned
node_index (const char *id)
{
  return (unsigned)g_ascii_strtoull (id + 1, NULL, 10);
}

static struct timespec
cluster_now (const struct cluster *cluster)
{
  return ts_from_ms (cluster->ms);
}

static void
start_node (struct cluster *cluster, unsigned i, uint64_t incarnation)
{
  char id[16];
  char address[32];
  char advertised_address[32];
  char zone[16];
  struct member_options options = { .rand = cluster->rand };

  g_snprintf (id, sizeof id, "n%03u", i);
  g_snprintf (address, sizeof address, "10.1.%u.%u:7000", i / 200, i % 200);
  g_snprintf (advertised_address, sizeof advertised_address, "10.1.%u.%u:8000",
              i / 200, i % 200);
  g_snprintf (zone, sizeof zone, "zone-%u", i % 4);
  options.self.id = id;
  options.self.address = address;
  options.self.advertised_address = advertised_address;
  options.self.zone = zone;
  options.self.region = "region";
  options.self.incarnation = incarnation;
  cluster->nodes[i] = member_new (&options);
}

static void
run_actions (struct cluster *cluster, unsigned i, struct action_list *list)
{
  struct member_action *action;

  while ((action = (struct member_action *)action_pop (list)) != NULL)
    {
      if (action->action.type != MEMBER_CHANGED)
        {
          struct packet *packet = g_new0 (struct packet, 1);
          struct peer_msg msg;

          membermsg_from_action (action, &msg);
          frame_encode (&msg, &packet->bytes, &packet->length);
          membermsg_clear (&msg);
          cluster->bytes += packet->length;
          packet->from = i;
          packet->to = node_index (action->to);
          g_ptr_array_add (cluster->packets, packet);
        }
      action_free (&action->action);
    }
}

static void
deliver (struct cluster *cluster, const struct packet *packet)
{
  struct action_list list;
  struct peer_msg msg;
  char from[16];

  if (cluster->dead[packet->to]
      || (cluster->is_blocked != NULL
          && cluster->is_blocked (packet->from, packet->to))
      || g_rand_double (cluster->rand) < cluster->loss)
    return;
  action_list_init (&list);
  g_snprintf (from, sizeof from, "n%03u", packet->from);
  g_assert_cmpint (frame_decode (packet->bytes + FRAME_HEADER_BYTES,
                                 packet->length - FRAME_HEADER_BYTES, &msg),
                   ==, 0);
  membermsg_deliver (cluster->nodes[packet->to], from, &msg,
                     cluster_now (cluster), &list);
  peer_msg_clear (&msg);
  run_actions (cluster, packet->to, &list);
}

/* Messages to a paused node are delivered when it resumes.  */
static void
deliver_all (struct cluster *cluster)
{
  GPtrArray *packets = cluster->packets;

  cluster->packets = g_ptr_array_new_with_free_func (packet_free);
  for (guint k = 0; k < packets->len; k++)
    {
      struct packet *packet = packets->pdata[k];

      if (!cluster->paused[packet->to])
        deliver (cluster, packet);
      else
        {
          g_ptr_array_add (cluster->packets, packet);
          packets->pdata[k] = g_new0 (struct packet, 1);
        }
    }
  g_ptr_array_unref (packets);
}

static void
run (struct cluster *cluster, int64_t ms)
{
  struct action_list list;

  action_list_init (&list);
  for (int64_t end = cluster->ms + ms; cluster->ms < end;)
    {
      cluster->ms += STEP_MS;
      deliver_all (cluster);
      for (unsigned i = 0; i < cluster->count; i++)
        if (!cluster->dead[i] && !cluster->paused[i])
          {
            member_tick (cluster->nodes[i], cluster_now (cluster), &list);
            run_actions (cluster, i, &list);
          }
    }
}

static void
update_instance_lists (struct cluster *cluster)
{
  struct platform_instance all[NODES_MAX] = { 0 };
  struct platform_instances instances = { all, cluster->count };
  struct action_list list;

  action_list_init (&list);
  for (unsigned i = 0; i < cluster->count; i++)
    {
      all[i].id = g_strdup_printf ("n%03u", i);
      all[i].address = g_strdup_printf ("10.1.%u.%u:7000", i / 200, i % 200);
      all[i].pool = "entry";
    }
  for (unsigned i = 0; i < cluster->count; i++)
    {
      member_update_instances (cluster->nodes[i], &instances,
                               cluster_now (cluster), &list);
      run_actions (cluster, i, &list);
    }
  for (unsigned i = 0; i < cluster->count; i++)
    {
      g_free (all[i].id);
      g_free (all[i].address);
    }
}

static struct cluster *
cluster_new_unlinked (unsigned count)
{
  struct cluster *cluster = g_new0 (struct cluster, 1);

  cluster->ms = 1000;
  cluster->count = count;
  cluster->rand = g_rand_new_with_seed (1);
  cluster->packets = g_ptr_array_new_with_free_func (packet_free);
  for (unsigned i = 0; i < count; i++)
    start_node (cluster, i, 1);
  return cluster;
}

static struct cluster *
cluster_new (unsigned count)
{
  struct cluster *cluster = cluster_new_unlinked (count);

  update_instance_lists (cluster);
  if (getenv ("RC_LONG") != NULL)
    run (cluster, 300000);
  run (cluster, count > 50 ? 60000 : 30000);
  return cluster;
}

static void
cluster_free (struct cluster *cluster)
{
  for (unsigned i = 0; i < cluster->count; i++)
    member_free (cluster->nodes[i]);
  g_ptr_array_unref (cluster->packets);
  g_rand_free (cluster->rand);
  g_free (cluster);
}

static enum member_state
state_seen_by (const struct cluster *cluster, unsigned at, unsigned of)
{
  char id[16];

  g_snprintf (id, sizeof id, "n%03u", of);
  return member_find (cluster->nodes[at], id)->state;
}

/* Number of running nodes that see OF in STATE.  */
static unsigned
count_seeing (const struct cluster *cluster, unsigned of,
              enum member_state state)
{
  unsigned count = 0;

  for (unsigned i = 0; i < cluster->count; i++)
    if (i != of && !cluster->dead[i]
        && state_seen_by (cluster, i, of) == state)
      count++;
  return count;
}

/* Milliseconds until all running nodes see OF in STATE.  */
static int64_t
ms_until_state (struct cluster *cluster, unsigned of, enum member_state state,
                int64_t limit)
{
  int64_t from = cluster->ms;

  while (count_seeing (cluster, of, state) < cluster->count - 1
         && cluster->ms < from + limit)
    run (cluster, STEP_MS);
  g_assert_cmpuint (count_seeing (cluster, of, state), ==, cluster->count - 1);
  return cluster->ms - from;
}

static void
assert_all_live (const struct cluster *cluster)
{
  for (unsigned i = 0; i < cluster->count; i++)
    g_assert_cmpuint (count_seeing (cluster, i, MEMBER_LIVE), ==,
                      cluster->count - 1);
}

static void
link_up (struct cluster *cluster, unsigned i, const char *to)
{
  struct action_list list;

  action_list_init (&list);
  member_link_up (cluster->nodes[i], to, &list);
  run_actions (cluster, i, &list);
}

/* Without an instance list, nodes learn of each other over links, and by
   gossip of the nodes that their neighbours know.  */
static void
test_links (void)
{
  struct cluster *cluster = cluster_new_unlinked (3);

  run (cluster, 3000);
  g_assert_null (member_find (cluster->nodes[0], "n001"));
  link_up (cluster, 0, "n001");
  link_up (cluster, 1, "n002");
  run (cluster, 3000);
  assert_all_live (cluster);
  cluster_free (cluster);
}

static bool
is_between_halves (unsigned from, unsigned to)
{
  return from / 2 != to / 2;
}

/* Two halves of a partition declare each other dead, and merge again once
   links between them are up.  */
static void
test_partition (void)
{
  struct cluster *cluster = cluster_new (4);

  g_assert_true (member_all_alive (cluster->nodes[0]));
  cluster->is_blocked = is_between_halves;
  run (cluster, 10000);
  g_assert_cmpint (state_seen_by (cluster, 0, 3), ==, MEMBER_DEAD);
  g_assert_cmpint (state_seen_by (cluster, 2, 1), ==, MEMBER_DEAD);
  g_assert_false (member_all_alive (cluster->nodes[0]));
  cluster->is_blocked = NULL;
  link_up (cluster, 0, "n002");
  link_up (cluster, 2, "n000");
  run (cluster, 5000);
  assert_all_live (cluster);
  g_assert_true (member_all_alive (cluster->nodes[0]));
  cluster_free (cluster);
}

static void
test_death (void)
{
  struct cluster *cluster = cluster_new (5);
  int64_t ms;

  assert_all_live (cluster);
  cluster->dead[2] = true;
  ms = ms_until_state (cluster, 2, MEMBER_DEAD, 10000);
  g_test_message ("5 nodes: dead everywhere after %" G_GINT64_FORMAT " ms",
                  ms);
  member_free (cluster->nodes[2]);
  start_node (cluster, 2, 9);
  cluster->dead[2] = false;
  update_instance_lists (cluster);
  ms_until_state (cluster, 2, MEMBER_LIVE, 30000);
  cluster_free (cluster);
}

/* When a tenth of the messages is lost, no node is declared dead.  */
static void
test_loss (void)
{
  struct cluster *cluster = cluster_new (20);

  cluster->loss = 0.1;
  for (unsigned i = 0; i < 120; i++)
    {
      run (cluster, 1000);
      for (unsigned n = 0; n < cluster->count; n++)
        g_assert_cmpuint (count_seeing (cluster, n, MEMBER_DEAD), ==, 0);
    }
  cluster_free (cluster);
}

/* A node paused for longer than the suspicion timeout is declared dead and
   recovers soon after it resumes; it declares no other node dead.  */
static void
test_pause (void)
{
  struct cluster *cluster = cluster_new (5);

  cluster->paused[1] = true;
  run (cluster, 8000);
  g_assert_cmpuint (count_seeing (cluster, 1, MEMBER_DEAD), ==, 4);
  cluster->paused[1] = false;
  run (cluster, STEP_MS);
  for (unsigned i = 0; i < cluster->count; i++)
    if (i != 1)
      g_assert_cmpint (state_seen_by (cluster, 1, i), !=, MEMBER_DEAD);
  ms_until_state (cluster, 1, MEMBER_LIVE, 10000);
  cluster_free (cluster);
}

static bool
is_from_0_to_1 (unsigned from, unsigned to)
{
  return from == 0 && to == 1;
}

/* When only the messages from node 0 to node 1 are lost, no node is declared
   dead.  */
static void
test_asymmetric (void)
{
  struct cluster *cluster = cluster_new (5);

  cluster->is_blocked = is_from_0_to_1;
  run (cluster, 60000);
  for (unsigned i = 0; i < cluster->count; i++)
    g_assert_cmpuint (count_seeing (cluster, i, MEMBER_DEAD), ==, 0);
  cluster_free (cluster);
}

static bool
is_across_zone_0 (unsigned from, unsigned to)
{
  return (from % 4 == 0) != (to % 4 == 0);
}

/* Every fourth node is in a zone that is cut off and reconnected.  */
static void
test_zone (void)
{
  struct cluster *cluster = cluster_new (20);

  cluster->is_blocked = is_across_zone_0;
  run (cluster, 30000);
  g_assert_cmpint (state_seen_by (cluster, 1, 4), ==, MEMBER_DEAD);
  g_assert_cmpint (state_seen_by (cluster, 1, 2), ==, MEMBER_LIVE);
  g_assert_cmpint (state_seen_by (cluster, 4, 8), ==, MEMBER_LIVE);
  cluster->is_blocked = NULL;
  run (cluster, 120000);
  assert_all_live (cluster);
  cluster_free (cluster);
}

static bool
is_to_or_from_3 (unsigned from, unsigned to)
{
  return (from == 3) != (to == 3);
}

/* A node that receives no messages declares nobody dead.  */
static void
test_isolated (void)
{
  struct cluster *cluster = cluster_new (5);

  cluster->is_blocked = is_to_or_from_3;
  run (cluster, 20000);
  g_assert_true (member_isolated (cluster->nodes[3]));
  for (unsigned i = 0; i < cluster->count; i++)
    if (i != 3)
      g_assert_cmpint (state_seen_by (cluster, 3, i), !=, MEMBER_DEAD);
  g_assert_cmpuint (count_seeing (cluster, 3, MEMBER_DEAD), ==, 4);
  g_assert_false (member_isolated (cluster->nodes[0]));
  cluster_free (cluster);
}

static void
test_leave (void)
{
  struct cluster *cluster = cluster_new (5);
  struct action_list list;

  action_list_init (&list);
  member_leave (cluster->nodes[4], cluster_now (cluster), &list);
  run_actions (cluster, 4, &list);
  run (cluster, 2 * STEP_MS);
  g_assert_cmpuint (count_seeing (cluster, 4, MEMBER_LEAVING), ==, 4);
  cluster->dead[4] = true;
  ms_until_state (cluster, 4, MEMBER_DEAD, 10000);
  cluster_free (cluster);
}

static void
test_bandwidth (void)
{
  static const unsigned sizes[] = { 5, 50, 400 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct cluster *cluster = cluster_new (sizes[i]);
      double bytes_per_s;
      int64_t ms;

      assert_all_live (cluster);
      cluster->bytes = 0;
      run (cluster, 20000);
      bytes_per_s = (double)cluster->bytes / 20 / sizes[i];
      cluster->dead[1] = true;
      ms = ms_until_state (cluster, 1, MEMBER_DEAD, 30000);
      g_test_message ("%u nodes: %.0f bytes/s sent by a node; dead "
                      "everywhere after %" G_GINT64_FORMAT " ms",
                      sizes[i], bytes_per_s, ms);
      g_assert_cmpfloat (bytes_per_s, <, 10000);
      cluster_free (cluster);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/links", test_links);
  g_test_add_func ("/member/partition", test_partition);
  g_test_add_func ("/member/death", test_death);
  g_test_add_func ("/member/loss", test_loss);
  g_test_add_func ("/member/pause", test_pause);
  g_test_add_func ("/member/asymmetric", test_asymmetric);
  g_test_add_func ("/member/zone", test_zone);
  g_test_add_func ("/member/isolated", test_isolated);
  g_test_add_func ("/member/leave", test_leave);
  g_test_add_func ("/member/bandwidth", test_bandwidth);
  return g_test_run ();
}
