/* Keys that are added and removed while the store turns one of two nodes away:
   once the bound for a new configuration is over, no node refuses an added key
   with 401, and none serves a removed one.  */

#include "gate_second.h"
#include "keys_fixture.h"

#define ROUNDS 3
#define PROBE_MS 300 /* after the bound, for each node */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static int64_t
now_ms (void)
{
  return ts_to_ms (clk_now (clk_monotonic ()));
}

static long
status_at (struct fixture *f, struct gate *gate, const char *key)
{
  struct gate *first = f->gate;
  long status;

  f->gate = gate;
  status = status_with_key (f, "/safe/x", key);
  f->gate = first;
  return status;
}

/* Asks GATE for ADDED and REMOVED until the bound is over and for a while
   after that.  */
static void
check_changed (struct fixture *f, struct gate *gate, const char *added,
               const char *removed, int64_t acked_ms)
{
  while (now_ms () < acked_ms + CONFIG_MS + PROBE_MS)
    {
      bool bound_over = now_ms () > acked_ms + CONFIG_MS;
      long status = status_at (f, gate, added);

      if (status == 401)
        g_assert_false (bound_over);
      else
        g_assert_true (status == 200 || status == 503);
      status = status_at (f, gate, removed);
      if (status == 200)
        g_assert_false (bound_over);
      g_assert_cmpint (status_at (f, gate, KEY_A), ==, 200);
    }
  g_assert_cmpint (status_at (f, gate, added), ==, 200);
}

static void
test_turned_away (void)
{
  struct fixture f;
  struct second second;
  char *removed = g_strdup (KEY_B);
  int64_t end_ms;

  set_up (&f);
  serve_keys (&f);
  start_second (&f, &second);
  end_ms = now_ms () + 20000;
  RUN_UNTIL (&f, version_at (second.gate) == 1 || now_ms () > end_ms);
  while (status_at (&f, second.gate, KEY_A) != 200)
    g_assert_cmpint (now_ms (), <, end_ms);
  for (int round = 0; round < ROUNDS; round++)
    {
      char *added = g_strdup_printf ("added-%d", round);
      char *list = g_strdup_printf ("\"%s\"", added);

      put_keys (&f, round + 2, list);
      check_changed (&f, round % 2 == 0 ? second.gate : f.gate, added, removed,
                     now_ms ());
      g_free (list);
      g_free (removed);
      removed = added;
    }
  g_free (removed);
  stop_second (&second);
  tear_down (&f);
}

/* Guards against a node that starts with an old configuration of a node that
   is cut off, or without one, and refuses keys with 401 by it.  */
static void
test_started (void)
{
  struct fixture f;
  struct second second;
  int64_t end_ms;
  long status = 0;

  set_up (&f);
  serve_keys (&f);
  start_second (&f, &second);
  end_ms = now_ms () + 20000;
  while (status != 200)
    {
      g_assert_cmpint (now_ms (), <, end_ms);
      status = status_at (&f, second.gate, KEY_B);
      g_assert_true (status == 200 || status == 503);
    }
  stop_second (&second);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-keys-changed/turned-away", test_turned_away);
  g_test_add_func ("/gate-keys-changed/started", test_started);
  return g_test_run ();
}
