/* Tests what a gate does after a backend server has said in a response that it
   wants a pause or that it leaves.  */

#include "gate_fixture.h"

#define PAUSE_MS 900

/* The last component of the path selects the server's behaviour.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;
  const char *pause[]
      = { "Parsleyrill-Not-Executed", "1", "Retry-After", "0.9", NULL };
  const char *long_pause[]
      = { "Parsleyrill-Not-Executed", "1", "Retry-After", "30", NULL };

  if (strcmp (behaviour, "pause") == 0 && f->at_server == 1)
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notice/pause", test_pause);
  g_test_add_func ("/notice/long-pause", test_long_pause);
  return g_test_run ();
}
