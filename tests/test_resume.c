/* Tests that a stream goes on only at servers with the version of the software
   that began it, whichever node resumes it.  */

#include "gate_fixture.h"
#include "gate_second.h"
#include "gateway_state.h"
#include "origins.h"
#include "peer.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define SERVERS 6 /* half of them of each version */
#define STREAMS 20
#define LINK_MS 2000 /* until nodes are linked and know the same servers */

static int began_at; /* number of the server of the last new stream */

/* Number of the server that the last request was sent to.  */
static int
server_of_last_request (const struct fixture *f)
{
  static const char name[] = "Parsleyrill-Expect-Instance: i-";
  const char *at = strstr (f->last_request->str, name);

  g_assert_nonnull (at);
  return atoi (at + strlen (name));
}

/* "open" leaves a new stream open after its first event, "cut" breaks it off,
   "hold" does not answer the first request.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;

  if (strcmp (behaviour, "warm") == 0)
    answer (request, 200, "hello");
  else if (strcmp (behaviour, "hold") == 0 && f->at_server == 1)
    f->held = request;
  else if (httpd_header (request, "Last-Event-Id") != NULL)
    {
      begin_event_stream (request, EVENT (2));
      httpd_stream_end (request);
    }
  else
    {
      began_at = server_of_last_request (f);
      begin_event_stream (request, EVENT (1));
      if (strcmp (behaviour, "cut") == 0)
        httpd_stream_abort (request);
      else
        f->held = request;
    }
}

/* Lists server i-NUMBER, with SOFTWARE.  All have the same address.  */
static void
list_version (struct fixture *f, int number, const char *software,
              const char *state)
{
  char *key = g_strdup_printf ("servers/i-%d", number);
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"Version\":\"%s\",\"State\":\"%s\",\"Sequence\":1}",
      httpd_port (f->server), software, state);

  put_row (f, key, text);
  g_free (key);
  g_free (text);
}

static const char *
version_of (int number)
{
  return number <= SERVERS / 2 ? "v1" : "v2";
}

/* Requests until the node at F->gate sends them to server i-NUMBER.  */
static void
wait_until_used (struct fixture *f, int number)
{
  do
    request_and_wait (f, "GET", "/safe/warm", NULL);
  while (f->status != 200 || server_of_last_request (f) != number);
}

static void
set_up_versions (struct fixture *f)
{
  set_up (f);
  put_config (f, 1);
  for (int i = 1; i <= SERVERS; i++)
    list_version (f, i, version_of (i), "ready");
  wait_until_used (f, 1);
  wait_until_used (f, SERVERS);
}

/* Begins a stream with request ID; the caller disconnects after the first
   event.  Returns the number of its server.  */
static int
begin_stream (struct fixture *f, const char *id)
{
  f->id = id;
  start_request (f, "GET", "/long/open", NULL);
  f->id = NULL;
  RUN_UNTIL (f, f->held != NULL && httpc_phase (f->call) == HTTPC_RESPONDING);
  httpc_cancel (f->call);
  RUN_UNTIL (f, f->held == NULL);
  return began_at;
}

/* The caller resumes the stream that began with request BEGUN_AS.  */
static void
start_resume (struct fixture *f, const char *path, const char *begun_as)
{
  char *resumes = g_strdup_printf ("Resumes: %s", begun_as);
  const char *headers[]
      = { "Last-Event-Id: 1", resumes, "Parsleyrill-Deadline-Ms: 5000", NULL };

  f->id = "again";
  f->at_server = 0;
  start_request (f, "GET", path, headers);
  f->id = NULL;
  g_free (resumes);
}

static void
resume_stream (struct fixture *f, const char *begun_as)
{
  start_resume (f, "/long/open", begun_as);
  RUN_UNTIL (f, f->done);
}

/* The last request went to the version of server NUMBER.  */
static void
check_version (const struct fixture *f, int number)
{
  g_assert_cmpstr (version_of (server_of_last_request (f)), ==,
                   version_of (number));
}

static void
check_resumed_at_version (const struct fixture *f, int number)
{
  g_assert_cmpint (f->status, ==, 200);
  g_assert_cmpstr (f->received->str, ==, EVENT (2));
  check_version (f, number);
}

/* Guards against a caller's resume that goes to a server of another version
   than the one that began the stream.  */
static void
test_resume_at_same_version (void)
{
  struct fixture f;

  set_up_versions (&f);
  for (int i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("s%d", i);
      int server = begin_stream (&f, id);

      resume_stream (&f, id);
      check_resumed_at_version (&f, server);
      g_free (id);
    }
  tear_down (&f);
}

/* Guards against one answer with events of two versions, when the node itself
   resumes a broken stream.  */
static void
test_answer_from_one_version (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      struct fixture f;

      set_up_versions (&f);
      request_and_wait (&f, "GET", "/long/cut", NULL);
      g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
      check_version (&f, began_at);
      tear_down (&f);
    }
}

/* Guards against a resume at another version at a node that did not begin the
   stream: one that ran when it began, and, with LATE, one that started
   later.  */
static void
check_other_node (bool late)
{
  struct fixture f;
  struct second second;
  struct gate *first;
  int servers[STREAMS];

  set_up_versions (&f);
  first = f.gate;
  if (!late)
    {
      start_second (&f, &second);
      f.gate = second.gate;
      wait_until_used (&f, 1);
      wait_until_used (&f, SERVERS);
      f.gate = first;
    }
  for (int i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("s%d", i);

      servers[i] = begin_stream (&f, id);
      g_free (id);
    }
  if (late)
    start_second (&f, &second);
  f.gate = second.gate;
  wait_until_used (&f, 1);
  wait_until_used (&f, SERVERS);
  for (int i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("s%d", i);

      resume_stream (&f, id);
      check_resumed_at_version (&f, servers[i]);
      g_free (id);
    }
  f.gate = first;
  stop_second (&second);
  tear_down (&f);
}

static void
test_resume_at_other_node (void)
{
  check_other_node (false);
}

static void
test_resume_at_later_node (void)
{
  check_other_node (true);
}

/* Guards against a resume at another version when the node that began the
   stream is gone.  */
static void
test_resume_after_node_death (void)
{
  struct fixture f;
  struct second second;
  struct gate *first;
  int servers[STREAMS];

  set_up_versions (&f);
  start_second (&f, &second);
  first = f.gate;
  f.gate = second.gate;
  wait_until_used (&f, 1);
  wait_until_used (&f, SERVERS);
  for (int i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("s%d", i);

      servers[i] = begin_stream (&f, id);
      g_free (id);
    }
  f.gate = first;
  stop_second (&second);
  for (int i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("s%d", i);

      resume_stream (&f, id);
      check_resumed_at_version (&f, servers[i]);
      g_free (id);
    }
  tear_down (&f);
}

static void
check_refused (const struct fixture *f)
{
  g_assert_cmpint (f->status, ==, 503);
  g_assert_cmpuint (f->at_server, ==, 0);
}

/* Guards against a guess: a stream that no node knows is refused while several
   versions serve.  */
static void
test_unknown_stream (void)
{
  struct fixture f;

  set_up_versions (&f);
  resume_stream (&f, "unknown");
  check_refused (&f);
  tear_down (&f);
}

/* Guards against a resume at another version when the servers of the stream's
   version leave.  */
static void
test_version_left (void)
{
  struct fixture f;
  int server;

  set_up_versions (&f);
  server = begin_stream (&f, "s");
  for (int i = 1; i <= SERVERS; i++)
    if (strcmp (version_of (i), version_of (server)) == 0)
      list_version (&f, i, version_of (i), "draining");
  for (int i = 0; i < 300; i++)
    run_once (&f);
  resume_stream (&f, "s");
  check_refused (&f);
  tear_down (&f);
}

/* Guards against the refusal of streams that no node knows where only one
   version has served.  */
static void
test_single_version (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  resume_stream (&f, "unknown");
  g_assert_cmpint (f.status, ==, 200);
  tear_down (&f);
}

static void
run_ms (struct fixture *f, int64_t ms)
{
  int64_t end_ms = ts_to_ms (clk_now (clk_monotonic ())) + ms;

  while (ts_to_ms (clk_now (clk_monotonic ())) < end_ms)
    run_once (f);
}

/* All nodes, here one, are killed and start again, with no memory.  */
static void
restart_all (struct fixture *f)
{
  struct httpc_options http = { .loop = f->loop };
  char *address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->store));
  struct store_options store = { .address = address };

  gate_free (f->gate);
  store_free (f->platform);
  engine_free (f->backend);
  f->upstream = httpc_new (&http);
  store.httpc = f->upstream;
  f->platform = store_new (&store);
  f->backend = engine_new (f->upstream);
  start_gate (f);
  g_free (address);
}

/* Guards against a stream joined from two versions: the servers of the one
   that began it leave, and all nodes restart, so that only another version is
   known.  */
static void
test_left_before_start (void)
{
  struct fixture f;

  set_up (&f);
  put_config (&f, 1);
  list_version (&f, 1, "v1", "ready");
  wait_until_used (&f, 1);
  begin_stream (&f, "s");
  RUN_UNTIL (&f, g_hash_table_contains (f.rows, "versions/app/v1"));
  list_version (&f, 2, "v2", "ready");
  wait_until_used (&f, 2);
  put_row (&f, "servers/i-1", NULL);
  run_ms (&f, 100);
  restart_all (&f);
  wait_until_used (&f, 2);
  run_ms (&f, 100);
  f.at_server = 0;
  resume_stream (&f, "s");
  check_refused (&f);
  tear_down (&f);
}

/* Guards against the refusal of all streams after a restart of all nodes where
   only one version has served.  */
static void
test_single_before_start (void)
{
  struct fixture f;

  set_up (&f);
  put_config (&f, 1);
  list_version (&f, 1, "v1", "ready");
  wait_until_used (&f, 1);
  begin_stream (&f, "s");
  RUN_UNTIL (&f, g_hash_table_contains (f.rows, "versions/app/v1"));
  restart_all (&f);
  wait_until_used (&f, 1);
  run_ms (&f, 100);
  resume_stream (&f, "s");
  check_resumed_at_version (&f, 1);
  tear_down (&f);
}

/* A member that answers no message, as when its machine is frozen.  */
struct silent
{
  struct peer *peer;
  bool connected;
};

static void
on_silent_message (void *user, const char *from, const struct peer_msg *msg)
{
  (void)user;
  (void)from;
  (void)msg;
}

static void
on_silent_up (void *user, const char *node)
{
  struct silent *silent = user;
  struct peer_member self = { .id = (char *)"silent",
                              .address = (char *)peer_address (silent->peer),
                              .advertised_address = (char *)"127.0.0.1:1",
                              .zone = (char *)"z",
                              .region = (char *)"r",
                              .incarnation = 1 };
  struct peer_msg probe
      = { .type = PEER_PROBE, .id = 1, .members = &self, .member_count = 1 };

  g_assert_cmpint (peer_send (silent->peer, node, &probe), ==, 0);
  silent->connected = true;
}

static void
start_silent (struct fixture *f, struct silent *silent, GRand *rand)
{
  char *address = peer_address_from_store (f);
  struct peer_options options = { .loop = f->loop,
                                  .clk = clk_monotonic (),
                                  .host = "127.0.0.1",
                                  .token = f->settings.peer_token,
                                  .node = "silent",
                                  .incarnation = 1,
                                  .region = "r",
                                  .zone = "z",
                                  .message = on_silent_message,
                                  .up = on_silent_up,
                                  .user = silent,
                                  .rand = rand };

  silent->connected = false;
  silent->peer = peer_new (&options);
  g_assert_cmpint (peer_connect (silent->peer, address), ==, 0);
  RUN_UNTIL (f, silent->connected);
  for (int i = 0; i < 20; i++)
    run_once (f);
  g_free (address);
}

/* Guards against a caller that is kept waiting for a node that does not
   answer, or is not told to come back although that node may know the stream.
 */
static void
test_no_answer (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  struct fixture f;
  struct silent silent;
  struct timespec begin;

  set_up_versions (&f);
  start_silent (&f, &silent, rand);
  begin = clk_now (clk_monotonic ());
  resume_stream (&f, "unknown");
  check_refused (&f);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpint (ts_to_ms (ts_sub (clk_now (clk_monotonic ()), begin)), >=,
                   ORIGINS_TIMEOUT_MS);
  peer_free (silent.peer);
  tear_down (&f);
  g_rand_free (rand);
}

/* Guards against a guess at a node that does not know the servers yet: it
   waits for their list, and refuses the stream if several versions serve.  */
static void
test_servers_unknown (void)
{
  struct fixture f;

  set_up (&f);
  put_config (&f, 1);
  do
    request_and_wait (&f, "GET", "/nowhere/x", NULL);
  while (f.status != 404);
  start_resume (&f, "/long/open", "unknown");
  for (int i = 0; i < 20; i++)
    run_once (&f);
  g_assert_false (f.done);
  for (int i = 1; i <= SERVERS; i++)
    list_version (&f, i, version_of (i), "ready");
  RUN_UNTIL (&f, f.done);
  check_refused (&f);
  tear_down (&f);
}

/* Guards against a retry at a version that was added after the stream was
   taken to be of the only one.  */
static void
test_version_added (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      struct fixture f;

      set_up (&f);
      put_config (&f, 1);
      for (int number = 1; number <= SERVERS / 2; number++)
        list_version (&f, number, version_of (number), "ready");
      wait_until_used (&f, 1);
      start_resume (&f, "/long/hold", "unknown");
      RUN_UNTIL (&f, f.held != NULL);
      for (int number = SERVERS / 2 + 1; number <= SERVERS; number++)
        list_version (&f, number, version_of (number), "ready");
      for (int n = 0; n < 100 && f.held != NULL; n++)
        run_once (&f);
      if (f.held != NULL)
        httpd_drop (f.held);
      RUN_UNTIL (&f, f.done);
      check_resumed_at_version (&f, 1);
      tear_down (&f);
    }
}

static struct cutoff *
cutoff_of (const struct fixture *f)
{
  return gateway_cutoff ((struct gateway *)gate_service (f->gate, "gateway"),
                         "app");
}

/* Lists server i-NUMBER without telling those that wait for new rows.  */
static void
list_version_silently (struct fixture *f, int number, const char *software)
{
  GPtrArray *waiting = f->waiting_feeds;

  f->waiting_feeds = g_ptr_array_new ();
  list_version (f, number, software, "ready");
  g_ptr_array_unref (f->waiting_feeds);
  f->waiting_feeds = waiting;
}

/* A node that had not heard yet of servers of another version, nor of a stream
   that began there, went on with it at the version that it knew.  */
static void
test_out_of_step (void)
{
  struct fixture f;

  set_up (&f);
  put_config (&f, 1);
  list_version (&f, 1, "v1", "ready");
  wait_until_used (&f, 1);
  run_ms (&f, LINK_MS);
  list_version_silently (&f, SERVERS, "v2");
  resume_stream (&f, "began-at-v2");
  check_refused (&f);
  tear_down (&f);
}

/* The node does not reach server i-1.  */
static void
cut_off (const struct fixture *f)
{
  struct cutoff *cutoff = cutoff_of (f);
  struct timespec now = clk_now (clk_monotonic ());

  cutoff_failed (
      cutoff, "i-1",
      ts_add_ms (now, -CUTOFF_TOLD_DELAY_MS - CUTOFF_TOLD_AGAIN_MS - 50));
  cutoff_told (cutoff, "i-1", ts_add_ms (now, -CUTOFF_TOLD_AGAIN_MS));
  cutoff_told (cutoff, "i-1", now);
  g_assert_true (cutoff_all (cutoff, now));
}

/* A stream that came by way of another node went on at another version when
   that node ended.  */
static void
test_relayed_stream (void)
{
  struct fixture f;
  struct second second;
  char *address;

  set_up (&f);
  put_config (&f, 1);
  list_version (&f, 1, "v1", "ready");
  wait_until_used (&f, 1);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  start_second_at (&f, &second, address, f.settings.peer_token);
  g_free (address);
  run_ms (&f, LINK_MS);
  cut_off (&f);
  f.at_server = 0;
  start_request (&f, "GET", "/long/open", NULL);
  RUN_UNTIL (&f, f.held != NULL && httpc_phase (f.call) == HTTPC_RESPONDING);
  list_version (&f, SERVERS, "v2", "ready");
  list_version (&f, 1, "v1", "draining");
  run_ms (&f, LINK_MS);
  cutoff_heard (cutoff_of (&f), "i-1", clk_now (clk_monotonic ()));
  f.at_server = 0;
  stop_second (&second);
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.error, !=, 0);
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/resume/same-version", test_resume_at_same_version);
  g_test_add_func ("/resume/one-answer", test_answer_from_one_version);
  g_test_add_func ("/resume/other-node", test_resume_at_other_node);
  g_test_add_func ("/resume/later-node", test_resume_at_later_node);
  g_test_add_func ("/resume/node-death", test_resume_after_node_death);
  g_test_add_func ("/resume/unknown-stream", test_unknown_stream);
  g_test_add_func ("/resume/no-answer", test_no_answer);
  g_test_add_func ("/resume/servers-unknown", test_servers_unknown);
  g_test_add_func ("/resume/version-added", test_version_added);
  g_test_add_func ("/resume/version-left", test_version_left);
  g_test_add_func ("/resume/single-version", test_single_version);
  g_test_add_func ("/resume/relayed", test_relayed_stream);
  g_test_add_func ("/resume/out-of-step", test_out_of_step);
  g_test_add_func ("/resume/left-before-start", test_left_before_start);
  g_test_add_func ("/resume/single-before-start", test_single_before_start);
  return g_test_run ();
}
