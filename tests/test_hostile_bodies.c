/* Guards against a gate that grows, stops or serves nobody else because of
   clients that begin a body and do not end it.  */

#include "hostile_gate.h"

int
main (int argc, char **argv)
{
  return hostile_gate_main (argc, argv, body_forms, G_N_ELEMENTS (body_forms));
}
