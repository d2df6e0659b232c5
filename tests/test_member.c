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

/* Nodes on one manual clock; a message arrives in the next step.  */
struct world
{
  int64_t ms;
  unsigned count;
  struct member *nodes[NODES_MAX];
  bool dead[NODES_MAX];
  bool paused[NODES_MAX];
  double loss;
  /* From the first node to the second nothing arrives.  */
  bool (*cut) (unsigned from, unsigned to);
  GRand *rand;
  GPtrArray *wires;
  uint64_t bytes;
};

struct wire
{
  unsigned from;
  unsigned to;
  char *bytes;
  size_t length;
};

static void
wire_free (void *data)
{
  struct wire *wire = data;

  g_free (wire->bytes);
  g_free (wire);
}

static unsigned
number_of (const char *id)
{
  return (unsigned)g_ascii_strtoull (id + 1, NULL, 10);
}

static struct timespec
world_now (const struct world *world)
{
  return ts_from_ms (world->ms);
}

static void
start_node (struct world *world, unsigned i, uint64_t incarnation)
{
  char id[16];
  char address[32];
  char advertised_address[32];
  char zone[16];
  struct member_options options = { .rand = world->rand };

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
  world->nodes[i] = member_new (&options);
}

static void
act (struct world *world, unsigned i, struct action_list *list)
{
  struct member_action *action;

  while ((action = (struct member_action *)action_pop (list)) != NULL)
    {
      if (action->action.type != MEMBER_CHANGED)
        {
          struct wire *wire = g_new0 (struct wire, 1);
          struct peer_msg msg;

          membermsg_from_action (action, &msg);
          frame_encode (&msg, &wire->bytes, &wire->length);
          membermsg_clear (&msg);
          world->bytes += wire->length;
          wire->from = i;
          wire->to = number_of (action->to);
          g_ptr_array_add (world->wires, wire);
        }
      action_free (&action->action);
    }
}

static void
deliver (struct world *world, const struct wire *wire)
{
  struct action_list list;
  struct peer_msg msg;
  char from[16];

  if (world->dead[wire->to]
      || (world->cut != NULL && world->cut (wire->from, wire->to))
      || g_rand_double (world->rand) < world->loss)
    return;
  action_list_init (&list);
  g_snprintf (from, sizeof from, "n%03u", wire->from);
  g_assert_cmpint (frame_decode (wire->bytes + FRAME_HEADER_BYTES,
                                 wire->length - FRAME_HEADER_BYTES, &msg),
                   ==, 0);
  membermsg_deliver (world->nodes[wire->to], from, &msg, world_now (world),
                     &list);
  peer_msg_clear (&msg);
  act (world, wire->to, &list);
}

/* A paused node's messages wait for it.  */
static void
deliver_all (struct world *world)
{
  GPtrArray *wires = world->wires;

  world->wires = g_ptr_array_new_with_free_func (wire_free);
  for (guint k = 0; k < wires->len; k++)
    {
      struct wire *wire = wires->pdata[k];

      if (!world->paused[wire->to])
        deliver (world, wire);
      else
        {
          g_ptr_array_add (world->wires, wire);
          wires->pdata[k] = g_new0 (struct wire, 1);
        }
    }
  g_ptr_array_unref (wires);
}

static void
run (struct world *world, int64_t ms)
{
  struct action_list list;

  action_list_init (&list);
  for (int64_t end = world->ms + ms; world->ms < end;)
    {
      world->ms += STEP_MS;
      deliver_all (world);
      for (unsigned i = 0; i < world->count; i++)
        if (!world->dead[i] && !world->paused[i])
          {
            member_tick (world->nodes[i], world_now (world), &list);
            act (world, i, &list);
          }
    }
}

static void
tell_instances (struct world *world)
{
  struct platform_instance all[NODES_MAX] = { 0 };
  struct platform_instances instances = { all, world->count };
  struct action_list list;

  action_list_init (&list);
  for (unsigned i = 0; i < world->count; i++)
    {
      all[i].id = g_strdup_printf ("n%03u", i);
      all[i].address = g_strdup_printf ("10.1.%u.%u:7000", i / 200, i % 200);
      all[i].pool = "entry";
    }
  for (unsigned i = 0; i < world->count; i++)
    {
      member_update_instances (world->nodes[i], &instances, world_now (world),
                               &list);
      act (world, i, &list);
    }
  for (unsigned i = 0; i < world->count; i++)
    {
      g_free (all[i].id);
      g_free (all[i].address);
    }
}

static struct world *
world_apart (unsigned count)
{
  struct world *world = g_new0 (struct world, 1);

  world->ms = 1000;
  world->count = count;
  world->rand = g_rand_new_with_seed (1);
  world->wires = g_ptr_array_new_with_free_func (wire_free);
  for (unsigned i = 0; i < count; i++)
    start_node (world, i, 1);
  return world;
}

static struct world *
world_new (unsigned count)
{
  struct world *world = world_apart (count);

  tell_instances (world);
  if (getenv ("RC_LONG") != NULL)
    run (world, 300000);
  run (world, count > 50 ? 60000 : 30000);
  return world;
}

static void
world_free (struct world *world)
{
  for (unsigned i = 0; i < world->count; i++)
    member_free (world->nodes[i]);
  g_ptr_array_unref (world->wires);
  g_rand_free (world->rand);
  g_free (world);
}

static enum member_state
state_at (const struct world *world, unsigned at, unsigned of)
{
  char id[16];

  g_snprintf (id, sizeof id, "n%03u", of);
  return member_find (world->nodes[at], id)->state;
}

/* How many running nodes hold OF for STATE.  */
static unsigned
agree (const struct world *world, unsigned of, enum member_state state)
{
  unsigned count = 0;

  for (unsigned i = 0; i < world->count; i++)
    if (i != of && !world->dead[i] && state_at (world, i, of) == state)
      count++;
  return count;
}

/* Milliseconds until all running nodes hold OF for STATE.  */
static int64_t
time_until (struct world *world, unsigned of, enum member_state state,
            int64_t limit)
{
  int64_t from = world->ms;

  while (agree (world, of, state) < world->count - 1
         && world->ms < from + limit)
    run (world, STEP_MS);
  g_assert_cmpuint (agree (world, of, state), ==, world->count - 1);
  return world->ms - from;
}

static void
assert_all_live (const struct world *world)
{
  for (unsigned i = 0; i < world->count; i++)
    g_assert_cmpuint (agree (world, i, MEMBER_LIVE), ==, world->count - 1);
}

/* Without an instance list, links alone make nodes know each other; whom a
   neighbour knows is heard of too.  */
static void
link_up (struct world *world, unsigned i, const char *to)
{
  struct action_list list;

  action_list_init (&list);
  member_link_up (world->nodes[i], to, &list);
  act (world, i, &list);
}

static void
test_links (void)
{
  struct world *world = world_apart (3);

  run (world, 3000);
  g_assert_null (member_find (world->nodes[0], "n001"));
  link_up (world, 0, "n001");
  link_up (world, 1, "n002");
  run (world, 3000);
  assert_all_live (world);
  world_free (world);
}

static bool
across (unsigned from, unsigned to)
{
  return from / 2 != to / 2;
}

/* Two halves that held each other dead are one again when links are up.  */
static void
test_halves (void)
{
  struct world *world = world_new (4);

  g_assert_true (member_all_alive (world->nodes[0]));
  world->cut = across;
  run (world, 10000);
  g_assert_cmpint (state_at (world, 0, 3), ==, MEMBER_DEAD);
  g_assert_cmpint (state_at (world, 2, 1), ==, MEMBER_DEAD);
  g_assert_false (member_all_alive (world->nodes[0]));
  world->cut = NULL;
  link_up (world, 0, "n002");
  link_up (world, 2, "n000");
  run (world, 5000);
  assert_all_live (world);
  g_assert_true (member_all_alive (world->nodes[0]));
  world_free (world);
}

static void
test_death (void)
{
  struct world *world = world_new (5);
  int64_t ms;

  assert_all_live (world);
  world->dead[2] = true;
  ms = time_until (world, 2, MEMBER_DEAD, 10000);
  g_test_message ("5 nodes: dead everywhere after %" G_GINT64_FORMAT " ms",
                  ms);
  member_free (world->nodes[2]);
  start_node (world, 2, 9);
  world->dead[2] = false;
  tell_instances (world);
  time_until (world, 2, MEMBER_LIVE, 30000);
  world_free (world);
}

static void
test_loss (void)
{
  struct world *world = world_new (20);

  world->loss = 0.1;
  for (unsigned i = 0; i < 120; i++)
    {
      run (world, 1000);
      for (unsigned n = 0; n < world->count; n++)
        g_assert_cmpuint (agree (world, n, MEMBER_DEAD), ==, 0);
    }
  world_free (world);
}

/* Longer than the suspicion lasts: held dead, and back soon afterwards; it
   holds nobody else dead meanwhile.  */
static void
test_pause (void)
{
  struct world *world = world_new (5);

  world->paused[1] = true;
  run (world, 8000);
  g_assert_cmpuint (agree (world, 1, MEMBER_DEAD), ==, 4);
  world->paused[1] = false;
  run (world, STEP_MS);
  for (unsigned i = 0; i < world->count; i++)
    if (i != 1)
      g_assert_cmpint (state_at (world, 1, i), !=, MEMBER_DEAD);
  time_until (world, 1, MEMBER_LIVE, 10000);
  world_free (world);
}

static bool
one_way (unsigned from, unsigned to)
{
  return from == 0 && to == 1;
}

static void
test_asymmetric (void)
{
  struct world *world = world_new (5);

  world->cut = one_way;
  run (world, 60000);
  for (unsigned i = 0; i < world->count; i++)
    g_assert_cmpuint (agree (world, i, MEMBER_DEAD), ==, 0);
  world_free (world);
}

static bool
zone_lost (unsigned from, unsigned to)
{
  return (from % 4 == 0) != (to % 4 == 0);
}

static void
test_zone (void)
{
  struct world *world = world_new (20);

  world->cut = zone_lost;
  run (world, 30000);
  g_assert_cmpint (state_at (world, 1, 4), ==, MEMBER_DEAD);
  g_assert_cmpint (state_at (world, 1, 2), ==, MEMBER_LIVE);
  g_assert_cmpint (state_at (world, 4, 8), ==, MEMBER_LIVE);
  world->cut = NULL;
  run (world, 120000);
  assert_all_live (world);
  world_free (world);
}

static bool
alone (unsigned from, unsigned to)
{
  return (from == 3) != (to == 3);
}

/* A node that hears nobody holds nobody dead.  */
static void
test_isolated (void)
{
  struct world *world = world_new (5);

  world->cut = alone;
  run (world, 20000);
  g_assert_true (member_isolated (world->nodes[3]));
  for (unsigned i = 0; i < world->count; i++)
    if (i != 3)
      g_assert_cmpint (state_at (world, 3, i), !=, MEMBER_DEAD);
  g_assert_cmpuint (agree (world, 3, MEMBER_DEAD), ==, 4);
  g_assert_false (member_isolated (world->nodes[0]));
  world_free (world);
}

static void
test_leave (void)
{
  struct world *world = world_new (5);
  struct action_list list;

  action_list_init (&list);
  member_leave (world->nodes[4], world_now (world), &list);
  act (world, 4, &list);
  run (world, 2 * STEP_MS);
  g_assert_cmpuint (agree (world, 4, MEMBER_LEAVING), ==, 4);
  world->dead[4] = true;
  time_until (world, 4, MEMBER_DEAD, 10000);
  world_free (world);
}

static void
test_bytes (void)
{
  static const unsigned sizes[] = { 5, 50, 400 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct world *world = world_new (sizes[i]);
      double each;
      int64_t ms;

      assert_all_live (world);
      world->bytes = 0;
      run (world, 20000);
      each = (double)world->bytes / 20 / sizes[i];
      world->dead[1] = true;
      ms = time_until (world, 1, MEMBER_DEAD, 30000);
      g_test_message ("%u nodes: %.0f bytes/s sent by a node; dead "
                      "everywhere after %" G_GINT64_FORMAT " ms",
                      sizes[i], each, ms);
      g_assert_cmpfloat (each, <, 10000);
      world_free (world);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/links", test_links);
  g_test_add_func ("/member/halves", test_halves);
  g_test_add_func ("/member/death", test_death);
  g_test_add_func ("/member/loss", test_loss);
  g_test_add_func ("/member/pause", test_pause);
  g_test_add_func ("/member/asymmetric", test_asymmetric);
  g_test_add_func ("/member/zone", test_zone);
  g_test_add_func ("/member/isolated", test_isolated);
  g_test_add_func ("/member/leave", test_leave);
  g_test_add_func ("/member/bytes", test_bytes);
  return g_test_run ();
}
