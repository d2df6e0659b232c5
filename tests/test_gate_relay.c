/* A gate that is cut off from the servers of a service passes requests on to
   another one.  */

#include "gate_second.h"
#include "gateway_state.h"

#define REJECT_MS 500 /* for what can't be served */
#define WAIT_MS 5000  /* for something that must happen */

#define QUIET_MS                                                              \
  1900 /* without a byte, as cut_off needs, between two probes */
#define SERVERS_MAX 4

static const char *const server_ids[SERVERS_MAX]
    = { "i-1", "i-2", "i-3", "i-4" };

static bool hold; /* the server does not answer */
static bool stream;

/* Of the tests with several servers.  */
enum outcome
{
  OUTCOME_OK,
  OUTCOME_ERROR,     /* status 500 */
  OUTCOME_REJECT,    /* not run */
  OUTCOME_RESET,     /* a stream ends within its first event */
  OUTCOME_TRUNCATED, /* a stream ends after its first event */
  OUTCOME_COUNT
};

struct servers
{
  GRand *rand; /* draws the outcomes; NULL: all are OUTCOME_ERROR */
  struct httpd *more[SERVERS_MAX - 1];
  bool cut_next;  /* cut the first node off during the first response */
  GPtrArray *ran; /* ids, in order, of the servers that ran the request */
  unsigned arrivals;
};

static struct servers servers;

static void play_at_server (struct fixture *f, struct httpd_request *request);

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  if (servers.ran != NULL)
    play_at_server (f, request);
  else if (hold)
    f->held = request;
  else if (stream)
    {
      begin_event_stream (request, "id: 1\ndata: a\n\n");
      httpd_stream_end (request);
    }
  else
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

static void
cut_off_from (struct gate *gate, const char *service, const char *id)
{
  struct gateway *gateway = (struct gateway *)gate_service (gate, "gateway");
  struct cutoff *cutoff = gateway_cutoff (gateway, service);
  struct timespec now = clk_now (clk_monotonic ());

  cutoff_failed (
      cutoff, id,
      ts_add_ms (now, -CUTOFF_TOLD_DELAY_MS - CUTOFF_TOLD_AGAIN_MS - 50));
  cutoff_told (cutoff, id, ts_add_ms (now, -CUTOFF_TOLD_AGAIN_MS));
  cutoff_told (cutoff, id, now);
}

static void
cut_off_server (struct gate *gate, const char *id)
{
  cut_off_from (gate, "app", id);
}

/* Until a probe finds a server.  Nothing must have been heard from it for
   some time.  */
static void
cut_off (struct gate *gate)
{
  struct gateway *gateway = (struct gateway *)gate_service (gate, "gateway");

  cut_off_server (gate, server_ids[0]);
  for (size_t i = 1; servers.ran != NULL && i < SERVERS_MAX; i++)
    cut_off_server (gate, server_ids[i]);
  g_assert_true (cutoff_all (gateway_cutoff (gateway, "app"),
                             clk_now (clk_monotonic ())));
}

static void
set_up_two (struct fixture *f, struct second *second)
{
  char *address;

  hold = stream = false;
  set_up (f);
  wait_until_serving (f);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->store));
  start_second_at (f, second, address, f->settings.peer_token);
  g_free (address);
  run_ms (f, 2000);
  f->at_server = 0;
  f->finished_at_server = 0;
}

static void
tear_down_two (struct fixture *f, struct second *second)
{
  stop_second (second);
  tear_down (f);
}

static void
test_plain (void)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  cut_off (f.gate);
  request_and_wait (&f, "GET", "/safe/x?y=1", NULL);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "hello");
  g_assert_cmpuint (f.at_server, ==, 1);
  g_assert_true (g_str_has_prefix (f.last_request->str, "GET /safe/x?y=1\n"));
  g_assert_null (strstr (f.last_request->str, CALLER_RELAY_HEADER));
  g_assert_nonnull (strstr (f.last_request->str, "Expect-Instance: i-1"));
  tear_down_two (&f, &second);
}

/* Guards against a request that may run once and is sent on both ways.  */
static void
test_once (void)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  f.body = "body";
  cut_off (f.gate);
  request_and_wait (&f, "POST", "/once/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  run_ms (&f, 500);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down_two (&f, &second);
}

static void
test_stream (void)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  stream = true;
  cut_off (f.gate);
  request_and_wait (&f, "GET", "/long/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "id: 1\ndata: a\n\n");
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down_two (&f, &second);
}

/* Guards against a caller that meets an older version of the configuration at
   a node which has a newer one: the node passes its request on, and the other
   one runs it at the service that the route had.  */
static void
test_older_config (void)
{
  static const char moved[]
      = "{\"Version\":2,\"Routes\":[{\"Name\":\"safe\",\"Hostname\":"
        "\"h.example\",\"Prefix\":\"/safe/\",\"Kind\":\"safe\","
        "\"TimeoutMs\":20000,\"Service\":\"other\",\"MaxAttempts\":2}],"
        "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"other\"}]}";
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  listing_apply_config ((struct listing *)gate_service (f.gate, LISTING_NAME),
                        moved);
  cut_off_from (f.gate, "other", "i-2");
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpuint (f.at_server, ==, 0);
  g_assert_cmpint (f.status, ==, 503);
  tear_down_two (&f, &second);
}

/* Guards against requests that go round among nodes that are all cut off, or
   wait there until their deadlines.  */
static void
test_all_cut_off (void)
{
  struct fixture f;
  struct second second;
  int64_t began_ms;

  set_up_two (&f, &second);
  cut_off (f.gate);
  cut_off (second.gate);
  began_ms = now_ms ();
  request_and_wait (&f, "POST", "/once/x", NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpint (now_ms () - began_ms, <, REJECT_MS);
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down_two (&f, &second);
}

/* Guards against work for a caller that has left the first node.  */
static void
test_caller_gone (void)
{
  struct fixture f;
  struct second second;
  int64_t end_ms;

  set_up_two (&f, &second);
  hold = true;
  cut_off (f.gate);
  start_request (&f, "GET", "/safe/x", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  httpc_cancel (f.call);
  end_ms = now_ms () + WAIT_MS;
  RUN_UNTIL (&f, f.finished_at_server == 1 || now_ms () > end_ms);
  g_assert_cmpuint (f.finished_at_server, ==, 1);
  tear_down_two (&f, &second);
}

/* Guards against a node that is never used again, or that leaves its servers
   to the other one.  */
static void
test_reached_again (void)
{
  struct fixture f;
  struct second second;
  struct gateway *gateway;

  set_up_two (&f, &second);
  gateway = (struct gateway *)gate_service (f.gate, "gateway");
  cut_off (f.gate);
  gateway_probe_soon (gateway);
  run_ms (&f, 1000);
  g_assert_false (cutoff_all (gateway_cutoff (gateway, "app"),
                              clk_now (clk_monotonic ())));
  tear_down_two (&f, &second);
}

/* Several servers, of which some fail.  */

static enum outcome
draw_outcome (void)
{
  if (servers.rand == NULL)
    return OUTCOME_ERROR;
  return (enum outcome)g_rand_int_range (servers.rand, 0, OUTCOME_COUNT);
}

static void
play_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *const rejection[] = { "Parsleyrill-Not-Executed", "full", NULL };
  const char *id = httpd_header (request, "Parsleyrill-Expect-Instance");
  enum outcome outcome = servers.cut_next ? OUTCOME_ERROR : draw_outcome ();

  servers.arrivals++;
  if (outcome == OUTCOME_REJECT)
    {
      httpd_respond (request, 503, "text/plain", rejection, "", 0);
      return;
    }
  g_ptr_array_add (servers.ran, g_strdup (id));
  if (outcome == OUTCOME_RESET || outcome == OUTCOME_TRUNCATED)
    {
      begin_event_stream (request, outcome == OUTCOME_TRUNCATED
                                       ? "id: 1\ndata: a\n\n"
                                       : "id: 1\nda");
      httpd_stream_abort (request);
    }
  else if (outcome == OUTCOME_OK)
    answer (request, 200, "hello");
  else if (servers.cut_next)
    {
      const char *headers[]
          = { ID, httpd_header (request, ID), SEAL, "seal", NULL };

      httpd_stream_begin (request, 500, "text/plain", headers);
      httpd_stream_write (request, "x", 1);
      f->held = request;
    }
  else
    answer (request, 500, "failed");
}

static void
set_up_servers (struct fixture *f, struct second *second)
{
  set_up_two (f, second);
  for (int i = 0; i < SERVERS_MAX - 1; i++)
    {
      char *key = g_strdup_printf ("servers/%s", server_ids[i + 1]);
      char *text;

      servers.more[i] = start_server (f, on_server, on_server_finished);
      text = g_strdup_printf (
          "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":"
          "\"z\",\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
          httpd_port (servers.more[i]));
      put_row (f, key, text);
      g_free (text);
      g_free (key);
    }
  servers.ran = g_ptr_array_new_with_free_func (g_free);
  servers.arrivals = 0;
  run_ms (f, 500);
}

static void
tear_down_servers (struct fixture *f, struct second *second)
{
  for (int i = 0; i < SERVERS_MAX - 1; i++)
    httpd_free (servers.more[i]);
  tear_down_two (f, second);
  g_clear_pointer (&servers.ran, g_ptr_array_unref);
  g_clear_pointer (&servers.rand, g_rand_free);
  servers.cut_next = false;
}

static unsigned
distinct_servers (void)
{
  unsigned count = 0;

  for (guint i = 0; i < servers.ran->len; i++)
    {
      bool before = false;

      for (guint j = 0; j < i; j++)
        before = before
                 || strcmp (g_ptr_array_index (servers.ran, i),
                            g_ptr_array_index (servers.ran, j))
                        == 0;
      count += !before;
    }
  return count;
}

/* A server fails a request of the first node, which is cut off before the
   response ends.  */
static void
fail_and_cut_off (struct fixture *f)
{
  servers.cut_next = true;
  start_request (f, "GET", "/safe/x", NULL);
  RUN_UNTIL (f, f->held != NULL);
  servers.cut_next = false;
  run_ms (f, QUIET_MS);
  cut_off (f->gate);
  httpd_stream_end (f->held);
  RUN_UNTIL (f, f->done);
}

/* Guards against a request that runs on more servers than its route allows:
   one fails it by way of the first node, which is cut off meanwhile, and
   others by way of the second.  */
static void
test_attempts_of_both (void)
{
  struct fixture f;
  struct second second;

  set_up_servers (&f, &second);
  fail_and_cut_off (&f);
  g_assert_cmpint (f.status, ==, 500);
  g_assert_cmpuint (servers.ran->len, ==, 2);
  g_assert_cmpuint (distinct_servers (), ==, 2);
  tear_down_servers (&f, &second);
}

/* The retry that the route allows is made, at another server.  */
static void
test_attempts_of_second (void)
{
  struct fixture f;
  struct second second;

  set_up_servers (&f, &second);
  cut_off (f.gate);
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 500);
  g_assert_cmpuint (servers.ran->len, ==, 2);
  g_assert_cmpuint (distinct_servers (), ==, 2);
  tear_down_servers (&f, &second);
}

/* Takes all retries of a node; returns their number.  */
static unsigned
drain (struct gateway *gateway)
{
  unsigned count = 0;

  while (retry_withdraw (gateway->retry, "app"))
    count++;
  return count;
}

/* Guards against retries that no budget pays for because another node makes
   them.  */
static void
test_no_budget (void)
{
  struct fixture f;
  struct second second;

  set_up_servers (&f, &second);
  drain ((struct gateway *)gate_service (f.gate, "gateway"));
  cut_off (f.gate);
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 500);
  g_assert_cmpuint (servers.ran->len, ==, 1);
  tear_down_servers (&f, &second);
}

/* A first node of an older release tells only its id: then this node makes the
   attempts.  */
static void
test_older_first (void)
{
  static const char *const headers[] = { CALLER_RELAY_HEADER ": n9", NULL };
  struct fixture f;
  struct second second;

  set_up_servers (&f, &second);
  request_and_wait (&f, "GET", "/safe/x", headers);
  g_assert_cmpint (f.status, ==, 500);
  g_assert_cmpuint (servers.ran->len, ==, 2);
  tear_down_servers (&f, &second);
}

/* The node has heard again that others reach the servers.  Its own probes
   would reach them too.  */
static void
stay_cut_off (struct gateway *gateway)
{
  struct cutoff *cutoff = gateway_cutoff (gateway, "app");
  struct timespec now = clk_now (clk_monotonic ());

  gateway_probe_stop (gateway);
  for (size_t i = 0; i < SERVERS_MAX; i++)
    cutoff_told (cutoff, server_ids[i], now);
  g_assert_true (cutoff_all (cutoff, now));
}

#define RANDOM_REQUESTS 60

static void
check_random (const struct fixture *f, const char *path)
{
  bool once = strcmp (path, "/once/x") == 0;

  g_assert_cmpuint (servers.ran->len, <=, once ? 1 : 2);
  g_assert_cmpuint (distinct_servers (), ==, servers.ran->len);
  if (f->status == 503 || f->status == 429)
    g_assert_cmpuint (servers.ran->len, ==, 0);
}

/* Property: whatever the servers do, and whichever node is cut off, a request
   runs on no more servers than its route allows, on each once, one that may
   run once does, "not run" is true, and a request brings the nodes one retry
   in all, which is the share that their settings allow.  */
static void
test_random (gconstpointer seed)
{
  static const char *const paths[] = { "/safe/x", "/once/x", "/long/x" };
  struct fixture f;
  struct second second;
  struct gateway *gateways[2];
  unsigned retries = 0;

  set_up_servers (&f, &second);
  servers.rand = g_rand_new_with_seed (GPOINTER_TO_UINT (seed));
  gateways[0] = (struct gateway *)gate_service (f.gate, "gateway");
  gateways[1] = (struct gateway *)gate_service (second.gate, "gateway");
  fail_and_cut_off (&f);
  check_random (&f, "/safe/x");
  drain (gateways[0]);
  drain (gateways[1]);
  for (int i = 0; i < RANDOM_REQUESTS; i++)
    {
      const char *path = paths[g_rand_int_range (servers.rand, 0, 3)];

      g_ptr_array_set_size (servers.ran, 0);
      servers.arrivals = 0;
      stay_cut_off (gateways[0]);
      f.body = strcmp (path, "/once/x") == 0 ? "body" : NULL;
      request_and_wait (&f, f.body != NULL ? "POST" : "GET", path, NULL);
      run_ms (&f, 20);
      check_random (&f, path);
      retries += servers.arrivals > 0 ? servers.arrivals - 1 : 0;
    }
  retries += drain (gateways[0]) + drain (gateways[1]);
  g_assert_cmpuint (retries, <=, RANDOM_REQUESTS);
  tear_down_servers (&f, &second);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-relay/plain", test_plain);
  g_test_add_func ("/gate-relay/once", test_once);
  g_test_add_func ("/gate-relay/stream", test_stream);
  g_test_add_func ("/gate-relay/older-config", test_older_config);
  g_test_add_func ("/gate-relay/all-cut-off", test_all_cut_off);
  g_test_add_func ("/gate-relay/caller-gone", test_caller_gone);
  g_test_add_func ("/gate-relay/reached-again", test_reached_again);
  g_test_add_func ("/gate-relay/attempts-of-both", test_attempts_of_both);
  g_test_add_func ("/gate-relay/attempts-of-second", test_attempts_of_second);
  g_test_add_func ("/gate-relay/no-budget", test_no_budget);
  g_test_add_func ("/gate-relay/older-first", test_older_first);
  for (unsigned i = 1; i <= 3; i++)
    {
      char *name = g_strdup_printf ("/gate-relay/random/%u", i);

      g_test_add_data_func (name, GUINT_TO_POINTER (i), test_random);
      g_free (name);
    }
  return g_test_run ();
}
