/* Tests stall_decide.  */

#include <glib.h>
#include "stall.h"

struct stall_case
{
  struct stall stall;
  enum stall_action action;
};

/* Guards against giving up an attempt at a silent server that nothing
   replaces at once.  */
static void
test_decide (void)
{
  static const struct stall_case cases[] = {
    { { false, false, false }, STALL_WAIT },
    { { false, true, true }, STALL_WAIT },
    { { true, false, false }, STALL_WAIT },
    { { true, true, false }, STALL_MOVE },
    { { true, true, true }, STALL_MOVE },
    { { true, false, true }, STALL_RECONNECT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (stall_decide (&cases[i].stall), ==, cases[i].action);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stall/decide", test_decide);
  return g_test_run ();
}
