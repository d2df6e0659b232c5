/* A server leaves while calls of the gate to the store fail.  */

#include "gate_fixture.h"

#define DRAIN_MS 2000
#define CHECKED_MS 1500 /* after DRAIN_MS */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "ok");
}

static int64_t
now_ms (void)
{
  return ts_to_ms (clk_now (clk_monotonic ()));
}

static void
run_until (struct fixture *f, int64_t at_ms)
{
  while (now_ms () < at_ms)
    run_once (f);
}

/* Guards against requests to a server whose entry was removed longer ago than
   DRAIN_MS, since the connections to the store died at that time.  */
static void
test_dead_connections (void)
{
  static const char *const deadline[]
      = { "Parsleyrill-Deadline-Ms: 200", NULL };
  struct fixture f;
  int64_t removed_ms;

  set_up (&f);
  wait_until_serving (&f);
  run_until (&f, now_ms () + 2000);
  silence_connections (&f);
  put_row (&f, "servers/i-1", NULL);
  removed_ms = now_ms ();
  run_until (&f, removed_ms + DRAIN_MS);
  f.at_server = 0;
  while (now_ms () < removed_ms + DRAIN_MS + CHECKED_MS)
    request_and_wait (&f, "GET", "/safe/x", deadline);
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-leaving/dead-connections", test_dead_connections);
  return g_test_run ();
}
