/* What callers get when a node stops as planned.  */

#define GATE_DRAIN_MS 800
#include "gate_fixture.h"
#include "gateway_state.h"

static const char *const short_deadline[]
    = { "Parsleyrill-Deadline-Ms: 300", NULL };

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  if (strstr (httpd_path (request), "hold") != NULL)
    f->held = request;
  else
    answer (request, 200, httpd_path (request));
}

/* Runs until the gate would end its process, and until what it has sent has
   arrived.  */
static void
stop_gate (struct fixture *f)
{
  gate_drain (f->gate);
  gate_run (f->gate);
  for (int i = 0; i < 20; i++)
    run_once (f);
}

/* Guards against requests that are cut without an answer at the end of a
   planned stop: they may have run, so the response does not promise that they
   have not.  */
static void
test_unanswered (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  start_request (&f, "POST", "/once/hold", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  stop_gate (&f);
  g_assert_true (f.done);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpint (f.status, ==, 504);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Guards against requests that are passed on in a planned stop although those
   of their route take longer than the rest of it.  One whose deadline comes
   before its end is served.  */
static void
test_too_long (void)
{
  struct fixture f;
  struct gateway *gateway;

  set_up (&f);
  wait_until_serving (&f);
  gateway = (struct gateway *)gate_service (f.gate, "gateway");
  for (int i = 0; i < DURATION_SAMPLES; i++)
    duration_add (gateway_duration (gateway, "once"),
                  ts_from_ms (GATE_DRAIN_MS));
  request_and_wait (&f, "POST", "/once/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  f.at_server = 0;
  gate_drain (f.gate);
  request_and_wait (&f, "POST", "/once/x", NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpuint (f.at_server, ==, 0);
  request_and_wait (&f, "POST", "/once/x", short_deadline);
  g_assert_cmpint (f.status, ==, 200);
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  tear_down (&f);
}

/* Guards against requests that wait until late in a planned stop, and are then
   passed on although those of their route take longer than the rest of it.  */
static void
test_waited_too_long (void)
{
  struct fixture f;
  struct gateway *gateway;

  set_up (&f);
  wait_until_serving (&f);
  gateway = (struct gateway *)gate_service (f.gate, "gateway");
  for (int i = 0; i < DURATION_SAMPLES; i++)
    duration_add (gateway_duration (gateway, "once"),
                  ts_from_ms (GATE_DRAIN_MS * 7 / 10));
  list_server (&f, "draining");
  do
    request_and_wait (&f, "GET", "/safe/x", short_deadline);
  while (f.status == 200);
  f.at_server = 0;
  gate_drain (f.gate);
  start_request (&f, "POST", "/once/x", NULL);
  for (int64_t end = g_get_monotonic_time () + GATE_DRAIN_MS * 400;
       g_get_monotonic_time () < end && !f.done;)
    run_once (&f);
  list_server (&f, "ready");
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

/* Guards against a stop without a configuration, or beside a store that does
   not answer, that cuts requests.  */
static void
test_starting (void)
{
  struct fixture f;

  set_up (&f);
  start_request (&f, "POST", "/once/x", NULL);
  stop_gate (&f);
  g_assert_true (f.done);
  g_assert_cmpint (f.status, ==, 503);
  tear_down (&f);
}

static void
test_silent_store (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  silence_connections (&f);
  start_request (&f, "POST", "/once/hold", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  stop_gate (&f);
  g_assert_true (f.done);
  g_assert_cmpint (f.status, ==, 504);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-stop/unanswered", test_unanswered);
  g_test_add_func ("/gate-stop/too-long", test_too_long);
  g_test_add_func ("/gate-stop/waited-too-long", test_waited_too_long);
  g_test_add_func ("/gate-stop/starting", test_starting);
  g_test_add_func ("/gate-stop/silent-store", test_silent_store);
  return g_test_run ();
}
