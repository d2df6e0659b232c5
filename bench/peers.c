#include "bench.h"

#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "clk.h"
#include "frame.h"
#include "member.h"
#include "ts.h"

#define ITERATIONS 20000
#define CELL_ENGINES 64
#define CELL_REPLICAS (2 * CELL_ENGINES)
#define WANT_COUNT 8
#define TICKS 2000
#define TICK_MS 200

static double
us_since (struct timespec start, unsigned iterations)
{
  struct timespec spent = ts_sub (clk_now (clk_monotonic ()), start);

  return ts_to_s (spent) * 1e6 / iterations;
}

/* Prints the encoded size of MSG and the mean times to encode and to decode
   it.  */
static void
measure_message (const char *name, const struct peer_msg *msg,
                 unsigned iterations)
{
  struct timespec start = clk_now (clk_monotonic ());
  struct peer_msg decoded;
  size_t length = 0;
  double encode_us;
  char *bytes = NULL;

  for (unsigned i = 0; i < iterations; i++)
    {
      g_free (bytes);
      frame_encode (msg, &bytes, &length);
    }
  encode_us = us_since (start, iterations);
  start = clk_now (clk_monotonic ());
  for (unsigned i = 0; i < iterations; i++)
    {
      frame_decode (bytes + FRAME_HEADER_BYTES, length - FRAME_HEADER_BYTES,
                    &decoded);
      peer_msg_clear (&decoded);
    }
  printf ("%-28s %7zu bytes  encode %8.2f us  decode %8.2f us\n", name, length,
          encode_us, us_since (start, iterations));
  g_free (bytes);
}

static void
measure_replicas (void)
{
  struct peer_replica replicas[CELL_REPLICAS] = { 0 };
  struct peer_msg msg = { .type = PEER_REPLICAS,
                          .cell = "drafting-models/12",
                          .fence = 1000,
                          .seq = 100000,
                          .replicas = replicas };

  for (unsigned i = 0; i < CELL_REPLICAS; i++)
    {
      replicas[i].engine = "engine-0123";
      replicas[i].address = "10.20.30.40:8000";
      replicas[i].zone = "zone-a";
      replicas[i].pool = "drafting-models";
      replicas[i].model = "summary-8b-instruct";
      replicas[i].version = "2026-11-01";
      replicas[i].state = 1;
      replicas[i].slots = 64;
      replicas[i].running = 17;
      replicas[i].queued = 3;
      replicas[i].age_ms = 250;
    }
  msg.replica_count = 1;
  measure_message ("replica delta, one", &msg, ITERATIONS);
  msg.full = true;
  msg.replica_count = CELL_REPLICAS;
  measure_message ("replica state, full cell", &msg, ITERATIONS / 100);
}

static void
measure_wants (void)
{
  struct peer_want wants[WANT_COUNT];
  struct peer_msg msg = { .type = PEER_WANTS,
                          .cell = "drafting-models/12",
                          .wants = wants,
                          .want_count = WANT_COUNT };

  for (unsigned i = 0; i < WANT_COUNT; i++)
    wants[i] = (struct peer_want){ .target = "summary-8b-instruct",
                                   .count = 5,
                                   .deadline_ms = 2500,
                                   .priority = 5 };
  measure_message ("wants, eight targets", &msg, ITERATIONS);
}

static void
start_member (struct member **member, unsigned count, GRand *rand)
{
  struct member_options options = { .rand = rand };
  struct platform_instance *entries = g_new0 (struct platform_instance, count);
  struct platform_instances instances = { entries, count };
  struct action_list list;

  options.self.id = "node-0000";
  options.self.address = "10.20.30.40:7000";
  options.self.advertised_address = "10.20.30.40:8000";
  options.self.zone = "zone-a";
  options.self.region = "region-1";
  options.self.incarnation = 1;
  *member = member_new (&options);
  for (unsigned i = 0; i < count; i++)
    {
      entries[i].id = g_strdup_printf ("node-%04u", i);
      entries[i].address = "10.20.30.41:8000";
      entries[i].zone = "zone-a";
      entries[i].region = "region-1";
      entries[i].pool = "entry";
    }
  action_list_init (&list);
  member_update_instances (*member, &instances, ts_from_ms (1000), &list);
  action_list_clear (&list);
  for (unsigned i = 0; i < count; i++)
    g_free (entries[i].id);
  g_free (entries);
}

/* Prints the mean time of a membership tick of a node that knows COUNT nodes,
   including the time to create its messages.  */
static void
measure_member_tick (unsigned count)
{
  GRand *rand = g_rand_new_with_seed (1);
  struct timespec start;
  struct action_list list;
  struct member *member;

  start_member (&member, count, rand);
  action_list_init (&list);
  start = clk_now (clk_monotonic ());
  for (unsigned i = 0; i < TICKS; i++)
    {
      member_tick (member, ts_from_ms (2000 + (int64_t)i * TICK_MS), &list);
      action_list_clear (&list);
    }
  printf ("membership tick, %4u nodes   %8.2f us\n", count,
          us_since (start, TICKS));
  member_free (member);
  g_rand_free (rand);
}

int
bench_peers (int argc, char **argv)
{
  struct peer_msg keepalive = { .type = PEER_KEEPALIVE };
  struct peer_msg version = { .type = PEER_CONFIG_VERSION, .version = 100000 };

  (void)argc;
  (void)argv;
  measure_message ("keep-alive", &keepalive, ITERATIONS);
  measure_message ("configuration version", &version, ITERATIONS);
  measure_wants ();
  measure_replicas ();
  measure_member_tick (5);
  measure_member_tick (50);
  measure_member_tick (400);
  return 0;
}
