/* silence_fixture - a gate whose backend server sends nothing for a while in
   the middle of a response and then goes on.  */

#ifndef SILENCE_FIXTURE_H
#define SILENCE_FIXTURE_H

#include "gate_fixture.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define GAP_MS 100      /* longest pause that the routes allow */
#define IDLE_MS 1500    /* the gate then looks for another server */
#define SILENCE_MS 2500 /* of the server */

static bool refuse_at_second; /* server i-2 refuses all requests */

/* The last component of the path selects the server's behaviour.  Server i-2,
   where it is listed, is never silent.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;
  const char *server = httpd_header (request, "Parsleyrill-Expect-Instance");

  if (g_strcmp0 (server, "i-2") == 0 && refuse_at_second)
    {
      const char *not_run[] = { "Parsleyrill-Not-Executed", "1", NULL };

      httpd_respond (request, 503, "text/plain", not_run, "", 0);
    }
  else if (g_strcmp0 (server, "i-2") == 0)
    {
      begin_event_stream (request, EVENT (2));
      httpd_stream_end (request);
    }
  else if (strcmp (behaviour, "events") == 0)
    {
      begin_event_stream (request, EVENT (1));
      f->held = request;
    }
  else if (strcmp (behaviour, "nameless") == 0)
    {
      begin_event_stream (request, "data: x\n\n");
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
start_serving (struct fixture *f, double retries)
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

  set_up_with (f, retries);
  wait_until_serving (f);
  put_row (f, "op/config", text);
  g_free (text);
  do
    request_and_wait (f, "GET", "/one/warm", NULL);
  while (f->status != 200);
  f->at_server = 0;
}

/* Lets the held request be silent, unless the caller's request ends.  */
static inline void
stay_silent (struct fixture *f)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), SILENCE_MS);

  RUN_UNTIL (f, f->held != NULL || f->done);
  RUN_UNTIL (f, f->done || ts_before (end, clk_now (clk_monotonic ())));
}

static inline void
finish_held_stream (struct fixture *f)
{
  g_assert_nonnull (f->held);
  httpd_stream_write (f->held, EVENT (2), strlen (EVENT (2)));
  httpd_stream_end (f->held);
  RUN_UNTIL (f, f->done);
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

static inline void
run_for (struct fixture *f, int64_t ms)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), ms);

  RUN_UNTIL (f, ts_before (end, clk_now (clk_monotonic ())));
}

#endif
