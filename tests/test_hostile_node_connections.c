/* Guards against a node that grows, stops or serves nobody else because of
   clients that hold connections, heads and pipelined requests.  */

#pragma GCC diagnostic ignored "-Wunused-variable"
#include "hostile_node.h"

int
main (int argc, char **argv)
{
  return hostile_node_main (argc, argv, connection_forms,
                            G_N_ELEMENTS (connection_forms));
}
