/* Guards against a gate that grows, stops or serves nobody else because of
   clients that hold connections, heads and pipelined requests.  */

#include "hostile_gate.h"

int
main (int argc, char **argv)
{
  return hostile_gate_main (argc, argv, connection_forms,
                            G_N_ELEMENTS (connection_forms));
}
