/* Tests a gate whose backend server sends nothing for a while in the middle
   of a response and then goes on.  */

#include "gate_fixture.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define GAP_MS 100      /* longest pause that the routes allow */
#define SILENCE_MS 1200 /* of the server */

/* The last component of the path selects the server's behaviour.  Server i-2,
   where it is listed, is never silent.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;
  const char *server = httpd_header (request, "Parsleyrill-Expect-Instance");

  if (g_strcmp0 (server, "i-2") == 0)
    {
      begin_event_stream (request, EVENT (2));
      httpd_stream_end (request);
    }
  else if (strcmp (behaviour, "events") == 0)
    {
      begin_event_stream (request, EVENT (1));
      f->held = request;
    }
  else if (strcmp (behaviour, "begin") == 0)
    {
      const char *headers[]
          = { ID, httpd_header (request, ID), SEAL, "seal", NULL };

      httpd_stream_begin (request, 200, "text/plain", headers);
      httpd_stream_write (request, "be", 2);
      f->held = request;
    }
  else if (strcmp (behaviour, "hold") == 0)
    f->held = request;
  else
    answer (request, 200, "hello");
}

static void
start_serving (struct fixture *f, bool no_retries)
{
  static const char silence_config[]
      = "{\"Version\":2,\"Routes\":["
        "{\"Name\":\"safe\",\"Hostname\":\"h.example\",\"Prefix\":\"/safe/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
        "\"MaxAttempts\":1},"
        "{\"Name\":\"again\",\"Hostname\":\"h.example\",\"Prefix\":\"/again/"
        "\","
        "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
        "\"MaxAttempts\":2},"
        "{\"Name\":\"one\",\"Hostname\":\"h.example\",\"Prefix\":\"/one/\","
        "\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"Service\":\"app\","
        "\"MaxAttempts\":1,\"Resumable\":true,\"GapAimMs\":%d},"
        "{\"Name\":\"two\",\"Hostname\":\"h.example\",\"Prefix\":\"/two/\","
        "\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"Service\":\"app\","
        "\"MaxAttempts\":2,\"Resumable\":true,\"GapAimMs\":%d}"
        "],\"Services\":[{\"Name\":\"app\"}]}";
  char *text = g_strdup_printf (silence_config, GAP_MS, GAP_MS);

  set_up_with (f, no_retries);
  wait_until_serving (f);
  put_row (f, "op/config", text);
  g_free (text);
  do
    request_and_wait (f, "GET", "/one/warm", NULL);
  while (f->status != 200);
  f->at_server = 0;
}

/* Lets the held request be silent, unless the caller's request ends.  */
static void
stay_silent (struct fixture *f)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), SILENCE_MS);

  RUN_UNTIL (f, f->held != NULL || f->done);
  RUN_UNTIL (f, f->done || ts_before (end, clk_now (clk_monotonic ())));
}

static void
finish_held_stream (struct fixture *f)
{
  g_assert_nonnull (f->held);
  httpd_stream_write (f->held, EVENT (2), strlen (EVENT (2)));
  httpd_stream_end (f->held);
  RUN_UNTIL (f, f->done);
}

/* Guards against cutting a stream because its server is silent, although no
   attempt is left that could go on in its place.  */
static void
test_no_attempt_left (void)
{
  struct fixture f;

  start_serving (&f, false);
  start_request (&f, "GET", "/one/events", NULL);
  stay_silent (&f);
  g_assert_false (f.done);
  finish_held_stream (&f);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Guards against giving up the attempt at a silent server while no other
   server can go on with the stream.  */
static void
test_no_other_server (void)
{
  struct fixture f;

  start_serving (&f, false);
  start_request (&f, "GET", "/two/events", NULL);
  stay_silent (&f);
  g_assert_false (f.done);
  finish_held_stream (&f);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Guards against a 502 for a request whose server is silent on a reused
   connection, although no attempt is left.  */
static void
test_silent_before_response (void)
{
  struct fixture f;

  start_serving (&f, false);
  start_request (&f, "GET", "/safe/hold", NULL);
  stay_silent (&f);
  g_assert_false (f.done);
  answer (f.held, 200, "late");
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "late");
  tear_down (&f);
}

static void
list_second_server (struct fixture *f)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
      httpd_port (f->server));

  put_row (f, "servers/i-2", text);
  g_free (text);
}

/* A stream goes on at another server while its own is silent.  */
static void
test_moves_to_other_server (void)
{
  struct fixture f;

  start_serving (&f, false);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
  g_assert_cmpuint (f.at_server, ==, 2);
  tear_down (&f);
}

/* Guards against cutting a stream whose server is silent because the retry
   budget is empty.  */
static void
test_no_budget (void)
{
  struct fixture f;

  start_serving (&f, true);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  stay_silent (&f);
  g_assert_false (f.done);
  finish_held_stream (&f);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
  tear_down (&f);
}

/* Guards against a timeout for the first byte of a response that has already
   begun.  */
static void
test_response_begun (void)
{
  struct fixture f;

  start_serving (&f, false);
  start_request (&f, "GET", "/again/begin", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  stay_silent (&f);
  g_assert_false (f.done);
  httpd_stream_write (f.held, "gun", 3);
  httpd_stream_end (f.held);
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, "begun");
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/silence/no-attempt-left", test_no_attempt_left);
  g_test_add_func ("/silence/no-other-server", test_no_other_server);
  g_test_add_func ("/silence/before-response", test_silent_before_response);
  g_test_add_func ("/silence/moves", test_moves_to_other_server);
  g_test_add_func ("/silence/no-budget", test_no_budget);
  g_test_add_func ("/silence/response-begun", test_response_begun);
  return g_test_run ();
}
