/* What callers get when a node stops as planned.  */

#include "traffic_fixture.h"

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  (void)body;
  f->held_request = request;
}

static void
on_engine_writable (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  (void)request;
}

static const char service_path[] = "/v1/completions";

/* Guards against requests that are passed on in the moment in which a node
   ends, and are cut without an answer.  Those in progress are answered.  */
static void
test_closed (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, true);
  start_request (&f, service_path, BODY, NULL);
  RUN_UNTIL (&f, f.held_request != NULL);
  traffic_drain (f.traffic);
  traffic_close (f.traffic);
  answer_stream (&f, f.held_request, true);
  RUN_UNTIL (&f, f.done > 0);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpint (f.status, ==, 200);
  request_and_wait (&f, service_path, BODY, NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":true"));
  g_assert_cmpint (f.engine_requests, ==, 1);
  RUN_UNTIL (&f, traffic_open_requests (f.traffic) == 0);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic-stop/closed", test_closed);
  return g_test_run ();
}
