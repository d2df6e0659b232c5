/* What callers get when a node stops as planned.  */

#define DRAIN_MS 800
#include "gate_fixture.h"

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-stop/unanswered", test_unanswered);
  return g_test_run ();
}
