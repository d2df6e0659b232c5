/* Tests the ejection of engines that are silent.  */

#include <glib.h>
#include "eject.h"
#include "ts.h"

static bool
is_ejected (struct eject *eject, struct timespec now)
{
  struct route_engine a = { .id = (char *)"a" };
  struct route_engine b = { .id = (char *)"b" };
  struct route_replica replicas[] = { { .engine = &a }, { .engine = &b } };
  bool ejected[2];

  eject_mark (eject, replicas, 2, now, ejected);
  return ejected[0];
}

/* Guards against the exclusion of an engine that sends again after a pause in
   which several dispatches waited for it.  */
static void
test_resumed (void)
{
  struct eject *eject = eject_new ();
  struct timespec now = { .tv_sec = 100 };

  for (int i = 0; i < EJECT_FAILURES; i++)
    eject_begin (eject, "a", now);
  for (int i = 0; i < EJECT_FAILURES; i++)
    eject_suspect (eject, "a", now);
  g_assert_true (is_ejected (eject, now));
  for (int i = 0; i < EJECT_FAILURES; i++)
    eject_resumed (eject, "a");
  g_assert_false (is_ejected (eject, now));
  g_assert_false (is_ejected (eject, ts_add_ms (now, 30000)));
  eject_free (eject);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/eject/resumed", test_resumed);
  return g_test_run ();
}
