/* Tests a gate whose backend server is silent for a while.  */

#include "silence_fixture.h"

/* Guards against cutting a stream because its server is silent, although no
   attempt is left that could go on in its place.  */
static void
test_no_attempt_left (void)
{
  struct fixture f;

  start_serving (&f, 100);
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

  start_serving (&f, 100);
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

  start_serving (&f, 100);
  start_request (&f, "GET", "/safe/hold", NULL);
  stay_silent (&f);
  g_assert_false (f.done);
  answer (f.held, 200, "late");
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "late");
  tear_down (&f);
}

/* A stream goes on at another server while its own is silent.  */
static void
test_moves_to_other_server (void)
{
  struct fixture f;

  start_serving (&f, 100);
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

  start_serving (&f, 0);
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

  start_serving (&f, 100);
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
