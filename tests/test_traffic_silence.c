/* Tests traffic threads with an engine that is silent in the middle of a
   stream and then goes on.  */

#define IDLE_TIMEOUT_MS 4000
#include "traffic_fixture.h"

#define SILENCE_MS 2500 /* longer than a stream's shorter idle timeout */

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };

  (void)body;
  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, "data: {\"t\":1}\n\n", 15);
  f->held_request = request;
}

static void
on_engine_writable (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  (void)request;
}

static void
wait_ms (struct fixture *f, int64_t ms)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), ms);

  RUN_UNTIL (f, f->done > 0 || ts_before (end, clk_now (clk_monotonic ())));
}

/* Guards against giving up a stream whose engine is silent while no other
   engine can go on with it.  */
static void
test_silence (void)
{
  static const char rest[] = "data: {\"t\":2}\n\ndata: [DONE]\n\n";
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  start_request (&f, "/v1/completions", BODY, NULL);
  RUN_UNTIL (&f, f.held_request != NULL);
  wait_ms (&f, SILENCE_MS);
  g_assert_cmpint (f.done, ==, 0);
  g_assert_nonnull (f.held_request);
  httpd_stream_write (f.held_request, rest, sizeof rest - 1);
  httpd_stream_end (f.held_request);
  RUN_UNTIL (&f, f.done > 0);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.response_body->str, ==, STREAM);
  g_assert_cmpint (f.engine_requests, ==, 1);
  tear_down (&f);
}

/* A stream whose engine stays silent ends at the configured idle timeout.  */
static void
test_idle_timeout (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  start_request (&f, "/v1/completions", BODY, NULL);
  RUN_UNTIL (&f, f.held_request != NULL);
  RUN_UNTIL (&f, f.requests_gone > 0);
  httpc_free (f.caller);
  f.caller = NULL;
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic/silence", test_silence);
  g_test_add_func ("/traffic/idle-timeout", test_idle_timeout);
  return g_test_run ();
}
