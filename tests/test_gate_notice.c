/* Tests what a gate does after a backend server has said in a response that it
   wants a pause or that it leaves.  */

#include "gate_fixture.h"

#define PAUSE_MS 900

static const char *const short_deadline[]
    = { "Parsleyrill-Deadline-Ms: 300", NULL };

static void
answer_leaving (struct httpd_request *request, const char *body)
{
  const char *headers[]
      = { ID,  httpd_header (request, ID), SEAL, "seal", "Server-Leaving", "1",
          NULL };

  httpd_respond (request, 200, "text/plain", headers, body, strlen (body));
}

static void
stream_leaving (struct httpd_request *request)
{
  const char *headers[]
      = { ID,  httpd_header (request, ID), SEAL, "seal", "Server-Leaving", "1",
          NULL };

  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, "id: 1\n\n", 7);
  httpd_stream_end (request);
}

/* The last component of the path selects the server's behaviour.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;
  const char *pause[]
      = { "Parsleyrill-Not-Executed", "1", "Retry-After", "0.9", NULL };
  const char *long_pause[]
      = { "Parsleyrill-Not-Executed", "1", "Retry-After", "30", NULL };

  if (strcmp (behaviour, "report") == 0)
    httpd_respond (request, 503, "text/plain", pause, "", 0);
  else if (strcmp (behaviour, "leaves") == 0)
    answer_leaving (request, "hello");
  else if (strcmp (behaviour, "leaves-events") == 0)
    stream_leaving (request);
  else if (strcmp (behaviour, "pause") == 0 && f->at_server == 1)
    httpd_respond (request, 503, "text/plain", pause, "", 0);
  else if (strcmp (behaviour, "long-pause") == 0)
    httpd_respond (request, 503, "text/plain", long_pause, "", 0);
  else
    answer (request, 200, "hello");
}

static int64_t
now_ms (void)
{
  return ts_to_ms (clk_now (clk_monotonic ()));
}

/* Guards against requests to a server before the end of the pause that it
   asked for with Retry-After.  */
static void
test_pause (void)
{
  struct fixture f;
  int64_t start_ms;

  set_up (&f);
  wait_until_serving (&f);
  start_ms = now_ms ();
  request_and_wait (&f, "GET", "/safe/pause", NULL);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpuint (f.at_server, ==, 2);
  g_assert_cmpint (now_ms () - start_ms, >=, PAUSE_MS);
  tear_down (&f);
}

/* Guards against requests that wait in vain for a server whose pause ends
   after their deadline.  */
static void
test_long_pause (void)
{
  static const char *const headers[]
      = { "Parsleyrill-Deadline-Ms: 3000", NULL };
  struct fixture f;
  int64_t start_ms;

  set_up (&f);
  wait_until_serving (&f);
  start_ms = now_ms ();
  for (int i = 0; i < 2; i++)
    {
      request_and_wait (&f, "GET", "/safe/long-pause", headers);
      g_assert_cmpint (f.status, ==, 503);
      g_assert_cmpfloat (g_ascii_strtod (f.retry_after, NULL), >, 27);
      g_assert_cmpfloat (g_ascii_strtod (f.retry_after, NULL), <=, 30);
    }
  g_assert_cmpint (now_ms () - start_ms, <, 2000);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Lists the server as ready, with the time of its start.  */
static void
list_started (struct fixture *f, int64_t born, unsigned sequence)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":%u,"
      "\"born\":%" G_GINT64_FORMAT "}",
      httpd_port (f->server), sequence, born);

  put_row (f, "servers/i-1", text);
  g_free (text);
}

/* Waits for the response to PATH, in which the server says that it leaves.
   Then it gets no more requests, although its entry is as before.  */
static void
check_left (struct fixture *f, const char *path)
{
  request_and_wait (f, "GET", path, NULL);
  g_assert_cmpint (f->status, ==, 200);
  request_and_wait (f, "GET", "/safe/x", short_deadline);
  g_assert_cmpint (f->status, ==, 503);
  list_started (f, 1000, 2);
  for (int i = 0; i < 400; i++)
    run_once (f);
  request_and_wait (f, "GET", "/safe/x", short_deadline);
  g_assert_cmpint (f->status, ==, 503);
  g_assert_cmpuint (f->at_server, ==, 1);
}

/* Guards against requests to a server that has said in a response that it
   leaves, while its entry does not.  */
static void
test_leaving (void)
{
  struct fixture f;

  set_up (&f);
  list_started (&f, 1000, 1);
  wait_until_serving (&f);
  list_started (&f, 1000, 1);
  check_left (&f, "/safe/leaves");
  list_started (&f, 2000, 0);
  do
    request_and_wait (&f, "GET", "/safe/x", short_deadline);
  while (f.status != 200);
  tear_down (&f);
}

/* Guards against the same in the head of a stream.  */
static void
test_leaving_stream (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  check_left (&f, "/long/leaves-events");
  tear_down (&f);
}

static const char engine_config[]
    = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Hostname\":"
      "\"h.example\",\"Prefix\":\"/m/\",\"Kind\":\"streaming\","
      "\"TimeoutMs\":20000,\"Service\":\"app\",\"MaxAttempts\":2,"
      "\"Resumable\":true,\"GapAimMs\":5000}],\"Services\":[{\"Name\":"
      "\"app\",\"Engine\":{\"Slots\":8,\"WeightsMb\":1000,"
      "\"AdapterSlots\":4,\"LoadsPerS\":1,\"Models\":[{\"Name\":\"m\","
      "\"WeightsMb\":10,\"LoadS\":1,\"Adapters\":1,\"AdapterMb\":1}]}}]}";

/* Guards against report requests and orders of the decider during the pause
   that an engine asked for.  */
static void
test_decider_pauses (void)
{
  struct fixture f;
  char *text;

  set_up (&f);
  put_row (&f, "op/config", engine_config);
  text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":0,\"born\":1000,"
      "\"Models\":[]}",
      httpd_port (f.server));
  put_row (&f, "servers/i-1", text);
  g_free (text);
  for (unsigned round = 1; round <= 2; round++)
    {
      int64_t pause_ends;

      RUN_UNTIL (&f, f.at_server >= round);
      pause_ends = now_ms () + PAUSE_MS - 50;
      while (now_ms () < pause_ends)
        run_once (&f);
      g_assert_cmpuint (f.at_server, ==, round);
    }
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notice/pause", test_pause);
  g_test_add_func ("/notice/long-pause", test_long_pause);
  g_test_add_func ("/notice/leaving", test_leaving);
  g_test_add_func ("/notice/leaving-stream", test_leaving_stream);
  g_test_add_func ("/notice/decider-pauses", test_decider_pauses);
  return g_test_run ();
}
