/* Guards against a node that grows, stops or serves nobody else because of
   clients that begin a body and do not end it.  */

#pragma GCC diagnostic ignored "-Wunused-variable"
#include "hostile_node.h"

int
main (int argc, char **argv)
{
  return hostile_node_main (argc, argv, body_forms, G_N_ELEMENTS (body_forms));
}
