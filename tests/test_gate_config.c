/* A new configuration is in force at all nodes within 2 s of its
   acknowledgement by the store, also while open connections to the store are
   dead without having been reset.  */

#include "gate_second.h"
#include "planners_state.h"

static const char other_config[]
    = "{\"Version\":2,\"Routes\":[{\"Name\":\"x\",\"Hostname\":"
      "\"h.example\",\"Prefix\":\"/other/\",\"Kind\":\"safe\","
      "\"TimeoutMs\":1000,\"Service\":\"app\",\"MaxAttempts\":1}],"
      "\"Services\":[{\"Name\":\"app\"}]}";

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static int64_t
now_ms (void)
{
  return ts_to_ms (clk_now (clk_monotonic ()));
}

static void
run_ms (struct fixture *f, int64_t ms)
{
  int64_t end_ms = now_ms () + ms;

  while (now_ms () < end_ms)
    run_once (f);
}

static bool
watches_config (const struct fixture *f)
{
  for (guint i = 0; i < f->waiting_feeds->len; i++)
    if (g_strcmp0 (
            httpd_query (g_ptr_array_index (f->waiting_feeds, i), "Table"),
            "op")
        == 0)
      return true;
  return false;
}

/* Until a watch of the configuration begins, the worst moment for its
   connection to die.  */
static void
run_until_watch_begins (struct fixture *f)
{
  RUN_UNTIL (f, !watches_config (f));
  RUN_UNTIL (f, watches_config (f));
}

/* The status of a request for the new route at GATE.  */
static long
status_at (struct fixture *f, struct gate *gate)
{
  struct gate *first = f->gate;

  f->gate = gate;
  request_and_wait (f, "GET", "/other/x", NULL);
  f->gate = first;
  return f->status;
}

static void
check_in_force (struct fixture *f, struct gate *gate, int64_t acked_ms)
{
  while (status_at (f, gate) != 200)
    g_assert_cmpint (now_ms (), <, acked_ms + CONFIG_MS);
}

/* Guards against a decider that waits for a configuration on a connection that
   is dead.  */
static void
test_dead_connections (void)
{
  struct fixture f;
  int64_t acked_ms;

  set_up (&f);
  wait_until_serving (&f);
  run_ms (&f, 4000);
  run_until_watch_begins (&f);
  silence_connections (&f);
  put_row (&f, "op/config", other_config);
  acked_ms = now_ms ();
  check_in_force (&f, f.gate, acked_ms);
  tear_down (&f);
}

/* Guards against nodes that trust a decider whose own knowledge of the
   configuration is old.  */
static void
test_dead_connections_all (void)
{
  struct fixture f;
  struct second second;
  char *address;
  int64_t acked_ms;

  set_up (&f);
  wait_until_serving (&f);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  start_second_at (&f, &second, address, f.settings.peer_token);
  g_free (address);
  run_ms (&f, 4000);
  run_until_watch_begins (&f);
  silence_connections (&f);
  put_row (&f, "op/config", other_config);
  acked_ms = now_ms ();
  check_in_force (&f, second.gate, acked_ms);
  check_in_force (&f, f.gate, acked_ms);
  stop_second (&second);
  tear_down (&f);
}

static bool
watches_servers (const struct fixture *f)
{
  for (guint i = 0; i < f->waiting_feeds->len; i++)
    if (g_strcmp0 (
            httpd_query (g_ptr_array_index (f->waiting_feeds, i), "Table"),
            "servers")
        == 0)
      return true;
  return false;
}

/* Guards against a decider that replaces its list, and relies on the word, of
   the former one: that was frozen and does not know yet.  */
static void
test_former_decider (void)
{
  struct peer_replica server = { .engine = (char *)"i-9",
                                 .address = (char *)"127.0.0.1:9",
                                 .zone = (char *)"z",
                                 .pool = (char *)"app",
                                 .model = (char *)SERVERS_WHOLE_SERVER,
                                 .slots = 8 };
  struct peer_msg msg = { .type = PEER_REPLICAS,
                          .cell = (char *)PLANNERS_CELL,
                          .node = (char *)"n9",
                          .seq = 1,
                          .full = true,
                          .since = 1,
                          .config_age_ms = 1,
                          .version = 1,
                          .replicas = &server,
                          .replica_count = 1 };
  struct fixture f;
  struct planners *planners;

  set_up (&f);
  wait_until_serving (&f);
  planners = (struct planners *)gate_service (f.gate, PLANNERS_NAME);
  RUN_UNTIL (&f, planners_deciding (planners) && watches_servers (&f));
  RUN_UNTIL (&f, !watches_servers (&f));
  run_ms (&f, 150);
  planners_receive_replicas (planners, "n9", &msg);
  g_assert_null (servers_find (listing_servers (planners->listing), "i-9"));
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-config/dead-connections", test_dead_connections);
  g_test_add_func ("/gate-config/dead-connections-all",
                   test_dead_connections_all);
  g_test_add_func ("/gate-config/former-decider", test_former_decider);
  return g_test_run ();
}
