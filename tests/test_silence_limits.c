/* Tests what a gate does about a silent backend server, and what it must not
   do.  */

#include "silence_fixture.h"

#define ONE_RETRY 8 /* of the fleet: one for this node */

/* No attempt is left, though another server is ready.  */
static void
test_attempts_are_limited (void)
{
  struct fixture f;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/one/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  stay_silent (&f);
  g_assert_false (f.done);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Events without ids: nothing says where another server has to go on.  */
static void
test_no_event_id (void)
{
  struct fixture f;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/two/nameless", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  stay_silent (&f);
  g_assert_false (f.done);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Only the connection is dead: the server sends on another one all the time.
 */
static void
test_dead_connection (void)
{
  struct fixture f;
  struct httpd_request *other;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  other = f.held;
  f.held = NULL;
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  for (int i = 0; i < 30; i++)
    {
      run_for (&f, 60);
      httpd_stream_write (other, EVENT (2), strlen (EVENT (2)));
    }
  g_assert_cmpuint (f.at_server, ==, 3);
  tear_down (&f);
}

static void
reconnect (double retries, const char *path, unsigned expected)
{
  struct fixture f;

  start_serving (&f, retries);
  start_request (&f, "GET", path, NULL);
  stay_silent (&f);
  g_assert_false (f.done);
  g_assert_cmpuint (f.at_server, ==, expected);
  tear_down (&f);
}

static void
test_reconnects_before_response (void)
{
  reconnect (MANY_RETRIES, "/again/hold", 2);
}

static void
test_reconnect_takes_a_retry (void)
{
  reconnect (0, "/again/hold", 1);
}

static void
test_no_reconnect_without_attempt (void)
{
  reconnect (MANY_RETRIES, "/safe/hold", 1);
}

static void
test_no_reconnect_to_leaving (void)
{
  struct fixture f;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/again/hold", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_server (&f, "draining");
  stay_silent (&f);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* The other server becomes ready after the first decision to wait.  */
static void
test_decides_again (void)
{
  struct fixture f;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  run_for (&f, IDLE_MS + 2 * GAP_MS);
  g_assert_cmpuint (f.at_server, ==, 1);
  list_second_server (&f);
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2));
  tear_down (&f);
}

/* The caller leaves while its server is silent.  */
static void
test_caller_leaves (void)
{
  struct fixture f;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  run_for (&f, IDLE_MS + GAP_MS);
  httpc_cancel (f.call);
  f.call = NULL;
  RUN_UNTIL (&f, f.held == NULL);
  run_for (&f, IDLE_MS + GAP_MS);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Guards against cutting a stream that was moved off a silent server because
   the next one refuses it and the retry budget is empty.  */
static void
test_moved_and_refused (void)
{
  struct fixture f;

  refuse_at_second = true;
  start_serving (&f, ONE_RETRY);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  list_second_server (&f);
  RUN_UNTIL (&f, f.at_server == 2 || f.done);
  run_for (&f, 10 * GAP_MS);
  g_assert_false (f.done);
  g_assert_cmpuint (f.at_server, ==, 2);
  refuse_at_second = false;
  tear_down (&f);
}

/* Guards against a new connection to a server that has just begun to send
   again after a pause.  */
static void
test_resumes_one_by_one (void)
{
  struct fixture f;
  struct httpd_request *first;

  start_serving (&f, MANY_RETRIES);
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  first = f.held;
  f.held = NULL;
  start_request (&f, "GET", "/two/events", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  run_for (&f, IDLE_MS - 60);
  g_assert_cmpuint (f.at_server, ==, 2);
  httpd_stream_write (first, EVENT (2), strlen (EVENT (2)));
  run_for (&f, 120);
  g_assert_cmpuint (f.at_server, ==, 2);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/silence/attempts", test_attempts_are_limited);
  g_test_add_func ("/silence/no-event-id", test_no_event_id);
  g_test_add_func ("/silence/dead-connection", test_dead_connection);
  g_test_add_func ("/silence/reconnects", test_reconnects_before_response);
  g_test_add_func ("/silence/reconnect-budget", test_reconnect_takes_a_retry);
  g_test_add_func ("/silence/reconnect-attempts",
                   test_no_reconnect_without_attempt);
  g_test_add_func ("/silence/leaving", test_no_reconnect_to_leaving);
  g_test_add_func ("/silence/decides-again", test_decides_again);
  g_test_add_func ("/silence/caller-leaves", test_caller_leaves);
  g_test_add_func ("/silence/moved-and-refused", test_moved_and_refused);
  g_test_add_func ("/silence/one-by-one", test_resumes_one_by_one);
  return g_test_run ();
}
