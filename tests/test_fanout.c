/* The leaseholder's list reaches every node of a large fleet through relays:
   with loss, cut links, relays that never pass anything on, late and repeated
   copies.  The load pattern is that of a fleet with many engines, where the
   list changes several times a second.  */

#include <string.h>
#include <glib.h>
#include "fanout.h"
#include "replica_sync.h"
#include "ts.h"

#define ZONES 6
#define STEP_MS 100
#define LATE_STEPS 3 /* longest delay of a late copy */
#define HEARTBEAT_STEPS 5
/* After the last fault a list is current within this time: a heartbeat shows
   the gap, and the list is requested from the node that sent the heartbeat.
   That node may have had a gap itself.  */
#define REPAIR_BOUND_MS 1500

struct sim_node
{
  char id[16];
  char zone[8];
  struct replica_receiver *in;
  bool mute; /* passes nothing on and answers no request */
  unsigned sent;
};

struct delivery
{
  unsigned at_step;
  size_t from;
  size_t to;
  struct peer_msg *msg; /* reference counted with g_rc_box */
  bool relay;
  bool request;
};

struct sim
{
  size_t count;
  struct sim_node *nodes;
  struct member_info *infos;
  const struct member_info **members;
  struct replica_sender *sender;
  GArray *engines; /* state of each, as model name */
  GPtrArray *in_flight;
  GRand *rand;
  double loss;
  unsigned step;
  size_t self; /* whose links is_linked answers for */
};

static struct timespec
sim_now (const struct sim *sim)
{
  return ts_from_ms ((int64_t)sim->step * STEP_MS + 1000);
}

static void
msg_clear (gpointer msg)
{
  peer_msg_clear (msg);
}

static void
delivery_free (gpointer data)
{
  struct delivery *delivery = data;

  if (delivery->msg != NULL)
    g_rc_box_release_full (delivery->msg, msg_clear);
  g_free (delivery);
}

static void
sim_init (struct sim *sim, size_t count, size_t engines, guint32 seed)
{
  memset (sim, 0, sizeof *sim);
  sim->count = count;
  sim->nodes = g_new0 (struct sim_node, count);
  sim->infos = g_new0 (struct member_info, count);
  sim->members = g_new0 (const struct member_info *, count);
  sim->sender = replica_sender_new ("engines", 1);
  sim->engines = g_array_new (FALSE, TRUE, sizeof (unsigned));
  g_array_set_size (sim->engines, (guint)engines);
  sim->in_flight = g_ptr_array_new_with_free_func (delivery_free);
  sim->rand = g_rand_new_with_seed (seed);
  for (size_t i = 0; i < count; i++)
    {
      struct sim_node *node = &sim->nodes[i];

      g_snprintf (node->id, sizeof node->id, "n%04u", (unsigned)i);
      g_snprintf (node->zone, sizeof node->zone, "z%u", (unsigned)i % ZONES);
      node->in = replica_receiver_new ();
      sim->infos[i].id = node->id;
      sim->infos[i].zone = node->zone;
      sim->members[i] = &sim->infos[i];
    }
}

static void
sim_clear (struct sim *sim)
{
  for (size_t i = 0; i < sim->count; i++)
    replica_receiver_free (sim->nodes[i].in);
  g_ptr_array_unref (sim->in_flight);
  g_array_unref (sim->engines);
  replica_sender_free (sim->sender);
  g_rand_free (sim->rand);
  g_free (sim->members);
  g_free (sim->infos);
  g_free (sim->nodes);
}

static bool
all_linked (void *user, const char *node)
{
  (void)user;
  (void)node;
  return true;
}

static struct fanout_query
query_of (const struct sim *sim, size_t self)
{
  struct fanout_query query = { .members = sim->members,
                                .count = sim->count,
                                .self = sim->nodes[self].id,
                                .zone = sim->nodes[self].zone,
                                .linked = all_linked };

  return query;
}

static size_t
index_of (const char *id)
{
  return (size_t)g_ascii_strtoull (id + 1, NULL, 10);
}

static void
post (struct sim *sim, size_t from, size_t to, struct peer_msg *msg,
      bool relay, bool request)
{
  struct delivery *delivery;

  sim->nodes[from].sent++;
  if (g_rand_double (sim->rand) < sim->loss)
    return;
  delivery = g_new0 (struct delivery, 1);
  delivery->at_step
      = sim->step
        + (sim->loss > 0
               ? (unsigned)g_rand_int_range (sim->rand, 0, LATE_STEPS + 1)
               : 0);
  delivery->from = from;
  delivery->to = to;
  delivery->msg = msg != NULL ? g_rc_box_acquire (msg) : NULL;
  delivery->relay = relay;
  delivery->request = request;
  g_ptr_array_add (sim->in_flight, delivery);
}

static void
post_to (struct sim *sim, size_t from, const GArray *targets,
         struct peer_msg *msg)
{
  for (guint i = 0; i < targets->len; i++)
    {
      const struct fanout_target *target
          = &g_array_index (targets, struct fanout_target, i);

      post (sim, from, index_of (target->node), msg, target->relay, false);
    }
}

static void
answer_request (struct sim *sim, size_t from, size_t to)
{
  struct peer_msg *full = g_rc_box_new0 (struct peer_msg);

  if (from == 0)
    replica_sender_full (sim->sender, sim_now (sim), full);
  if (from == 0
      || replica_receiver_full (sim->nodes[from].in, "engines", sim_now (sim),
                                full))
    post (sim, from, to, full, false, false);
  g_rc_box_release_full (full, msg_clear);
}

static void
deliver (struct sim *sim, const struct delivery *delivery)
{
  struct sim_node *node = &sim->nodes[delivery->to];
  struct fanout_query query = query_of (sim, delivery->to);
  GArray *targets;
  enum replica_sync_result result;

  if (delivery->request)
    {
      if (!node->mute)
        answer_request (sim, delivery->to, delivery->from);
      return;
    }
  result = replica_receiver_apply (node->in, "n0000", delivery->msg,
                                   sim_now (sim));
  if (result == REPLICA_SYNC_GAP)
    post (sim, delivery->to, delivery->from, NULL, false, true);
  if (!delivery->relay || node->mute || result == REPLICA_SYNC_STALE)
    return;
  targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));
  fanout_relay (&query, sim->nodes[delivery->from].id, targets);
  post_to (sim, delivery->to, targets, delivery->msg);
  g_array_unref (targets);
}

static void
deliver_due (struct sim *sim)
{
  for (guint i = 0; i < sim->in_flight->len;)
    {
      struct delivery *delivery = g_ptr_array_index (sim->in_flight, i);

      if (delivery->at_step > sim->step)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index_fast (sim->in_flight, i);
      deliver (sim, delivery);
      delivery_free (delivery);
    }
}

static GArray *
current_list (const struct sim *sim, GPtrArray *names)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));

  for (guint i = 0; i < sim->engines->len; i++)
    {
      struct peer_replica replica = { .state = 1 };

      replica.engine = g_strdup_printf ("e%u", i);
      replica.model
          = g_strdup_printf ("m%u", g_array_index (sim->engines, unsigned, i));
      g_ptr_array_add (names, replica.engine);
      g_ptr_array_add (names, replica.model);
      g_array_append_val (list, replica);
    }
  return list;
}

/* The leaseholder publishes what changed since the last step.  */
static void
publish (struct sim *sim)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GArray *list = current_list (sim, names);
  struct peer_msg *msg = g_rc_box_new0 (struct peer_msg);
  struct fanout_query query = query_of (sim, 0);
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));

  replica_sender_changes (sim->sender, (struct peer_replica *)list->data,
                          list->len, sim_now (sim), msg);
  fanout_origin (&query, targets);
  if (msg->replica_count > 0 || sim->step % HEARTBEAT_STEPS == 0)
    post_to (sim, 0, targets, msg);
  g_rc_box_release_full (msg, msg_clear);
  g_array_unref (targets);
  g_array_unref (list);
  g_ptr_array_unref (names);
}

static void
run_steps (struct sim *sim, unsigned steps, bool changes)
{
  for (unsigned i = 0; i < steps; i++)
    {
      if (changes)
        g_array_index (
            sim->engines, unsigned,
            (guint)g_rand_int_range (sim->rand, 0, (gint32)sim->engines->len))
            = (unsigned)g_rand_int_range (sim->rand, 0, 50);
      publish (sim);
      deliver_due (sim);
      sim->step++;
    }
}

static void
count_replica (void *user, const struct peer_replica *replica)
{
  const struct sim *sim = ((void **)user)[0];
  unsigned *matching = ((void **)user)[1];
  unsigned *all = ((void **)user)[2];
  unsigned engine = (unsigned)index_of (replica->engine);

  (*all)++;
  *matching += index_of (replica->model)
               == g_array_index (sim->engines, unsigned, engine);
}

static unsigned
nodes_behind (struct sim *sim)
{
  unsigned behind = 0;

  for (size_t i = 1; i < sim->count; i++)
    {
      unsigned matching = 0;
      unsigned all = 0;
      void *user[] = { sim, &matching, &all };

      replica_receiver_each (sim->nodes[i].in, count_replica, user);
      behind += matching != sim->engines->len || all != matching;
    }
  return behind;
}

static const size_t fleet_sizes[] = { 5, 24, 25, 117, 300 };

/* No node sends a message to more nodes than its zone has, plus the relays;
   every node gets it at once, at most FANOUT_RELAYS times.  */
static void
test_counts (void)
{
  for (guint s = 0; s < G_N_ELEMENTS (fleet_sizes); s++)
    {
      size_t count = fleet_sizes[s];
      size_t zone_nodes = (count + ZONES - 1) / ZONES;
      unsigned total = 0;
      struct sim sim;

      sim_init (&sim, count, 40, 1);
      run_steps (&sim, 1, true);
      g_assert_cmpuint (nodes_behind (&sim), ==, 0);
      for (size_t i = 0; i < count; i++)
        {
          total += sim.nodes[i].sent;
          if (count > FANOUT_DIRECT_MAX)
            g_assert_cmpuint (sim.nodes[i].sent, <=,
                              zone_nodes + FANOUT_RELAYS * (ZONES - 1));
        }
      g_assert_cmpuint (total, <=, FANOUT_RELAYS * count);
      sim_clear (&sim);
    }
}

/* One relay of each zone passes nothing on: the other one serves its zone.  */
static void
test_mute_relay (void)
{
  struct sim sim;
  struct fanout_query query;
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));

  sim_init (&sim, 117, 40, 2);
  query = query_of (&sim, 0);
  fanout_origin (&query, targets);
  for (guint i = 0; i < targets->len; i++)
    {
      const struct fanout_target *target
          = &g_array_index (targets, struct fanout_target, i);

      if (target->relay && i % FANOUT_RELAYS == 0)
        sim.nodes[index_of (target->node)].mute = true;
    }
  run_steps (&sim, 20, true);
  g_assert_cmpuint (nodes_behind (&sim), ==, 0);
  g_array_unref (targets);
  sim_clear (&sim);
}

/* After a time with loss and late copies every list is current within the
   stated bound.  */
static void
test_repair (void)
{
  for (guint s = 0; s < G_N_ELEMENTS (fleet_sizes); s++)
    for (guint32 seed = 1; seed <= 4; seed++)
      {
        struct sim sim;

        sim_init (&sim, fleet_sizes[s], 60, seed);
        sim.loss = 0.3;
        run_steps (&sim, 60, true);
        sim.loss = 0;
        run_steps (&sim, REPAIR_BOUND_MS / STEP_MS, false);
        g_assert_cmpuint (nodes_behind (&sim), ==, 0);
        sim_clear (&sim);
      }
}

/* A dead node or one without a link is neither relay nor receiver, a suspected
   one is relay only if there is no other.  */
static void
test_choice (void)
{
  struct sim sim;
  struct fanout_query query;
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));
  unsigned relays = 0;

  sim_init (&sim, 60, 1, 3);
  for (size_t i = 1; i < sim.count; i++)
    if (i % ZONES == 1)
      sim.infos[i].state = MEMBER_DEAD;
    else if (i % ZONES == 2)
      sim.infos[i].state = i < 9 ? MEMBER_LIVE : MEMBER_SUSPECT;
  query = query_of (&sim, 0);
  fanout_origin (&query, targets);
  for (guint i = 0; i < targets->len; i++)
    {
      const struct fanout_target *target
          = &g_array_index (targets, struct fanout_target, i);
      size_t node = index_of (target->node);

      g_assert_cmpuint (node % ZONES, !=, 1);
      if (node % ZONES == 2)
        g_assert_cmpuint (node, <, 9);
      relays += target->relay;
    }
  g_assert_cmpuint (relays, ==, FANOUT_RELAYS * (ZONES - 2));
  g_array_unref (targets);
  sim_clear (&sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fanout/counts", test_counts);
  g_test_add_func ("/fanout/mute-relay", test_mute_relay);
  g_test_add_func ("/fanout/repair", test_repair);
  g_test_add_func ("/fanout/choice", test_choice);
  return g_test_run ();
}
