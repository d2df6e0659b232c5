/* suspects - requests that crash backend servers: drives the suspect decider
   over the peer links for the traffic threads.

   A service of the control thread, "suspects".  */

#ifndef PARSLEYRILL_SUSPECTS_H
#define PARSLEYRILL_SUSPECTS_H

#include "kernel.h"
#include "suspect.h"

#define SUSPECTS_NAME "suspects"

/* BOARD is borrowed; the traffic threads read it.  */
struct service *suspects_new (struct suspect_table *board);
void suspects_free (struct service *service);

#endif
