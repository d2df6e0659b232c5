/* Tests when a gate answers 404: callers do not repeat such a request, so only
   if every configuration that may be in force lacks the route.  */

#include "gate_fixture.h"
#include "listing.h"
#include "planners_state.h"

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static void
check_status (struct fixture *f, const char *path, long status)
{
  request_and_wait (f, "GET", path, NULL);
  g_assert_cmpint (f->error, ==, 0);
  g_assert_cmpint (f->status, ==, status);
  if (status == 503)
    g_assert_nonnull (f->retry_after);
}

/* A route whose service the configuration does not list, or to whose services
   no weight is given, was answered with 404.  */
static void
test_no_service (void)
{
  static const char without[]
      = "{\"Version\":2,\"Routes\":["
        "{\"Name\":\"x\",\"Hostname\":\"h.example\",\"Prefix\":\"/safe/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":1000,\"Service\":\"none\"},"
        "{\"Name\":\"y\",\"Hostname\":\"h.example\",\"Prefix\":\"/once/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":1000,\"TrafficSplit\":["
        "{\"Service\":\"app\",\"Weight\":0}]}],"
        "\"Services\":[{\"Name\":\"app\"}]}";
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  put_row (&f, "op/config", without);
  RUN_UNTIL (
      &f, listing_site ((struct listing *)gate_service (f.gate, LISTING_NAME))
                  ->version
              == 2);
  check_status (&f, "/safe/x", 503);
  check_status (&f, "/once/x", 503);
  check_status (&f, "/long/x", 404);
  tear_down (&f);
}

/* A node that had not heard of the configuration for longer than a new one may
   take answered 404 for a route that had been added.  */
static void
test_store_away (void)
{
  struct fixture f;
  struct timespec end;

  set_up (&f);
  wait_until_serving (&f);
  check_status (&f, "/added/x", 404);
  httpd_free (f.store);
  f.store = NULL;
  end = ts_add_ms (clk_now (clk_monotonic ()), CONFIG_MS);
  RUN_UNTIL (&f, !ts_before (clk_now (clk_monotonic ()), end));
  check_status (&f, "/added/x", 503);
  check_status (&f, "/safe/x", 200);
  tear_down (&f);
}

/* A node that knew of a newer configuration answered 404 by the older one that
   it had.  */
static void
test_newer_known (void)
{
  struct listing_peer_info info
      = { .age_ms = 1, .config_version = 2, .config_age_ms = 1 };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  RUN_UNTIL (&f, planners_deciding (
                     (struct planners *)gate_service (f.gate, PLANNERS_NAME)));
  check_status (&f, "/added/x", 404);
  listing_peer_list_update (
      (struct listing *)gate_service (f.gate, LISTING_NAME), &info);
  check_status (&f, "/added/x", 503);
  check_status (&f, "/safe/x", 200);
  put_config (&f, 2);
  do
    request_and_wait (&f, "GET", "/added/x", NULL);
  while (f.status == 503);
  g_assert_cmpint (f.status, ==, 404);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/unknown-route/no-service", test_no_service);
  g_test_add_func ("/unknown-route/store-away", test_store_away);
  g_test_add_func ("/unknown-route/newer-known", test_newer_known);
  return g_test_run ();
}
