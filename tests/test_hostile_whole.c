/* Guards against a gate that grows, stops or serves nobody else because of
   clients that send whole requests of the largest size or get large responses.
 */

#include "hostile_gate.h"

int
main (int argc, char **argv)
{
  return hostile_gate_main (argc, argv, whole_forms,
                            G_N_ELEMENTS (whole_forms));
}
