/* Guards against a node that grows, stops or serves nobody else because of
   clients that send whole requests of the largest size.  */

#pragma GCC diagnostic ignored "-Wunused-variable"
#include "hostile_node.h"

int
main (int argc, char **argv)
{
  return hostile_node_main (argc, argv, whole_forms,
                            G_N_ELEMENTS (whole_forms));
}
