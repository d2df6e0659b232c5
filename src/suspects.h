/* suspects - protection against requests that crash backend servers: connects
   struct suspect with the peer links and the traffic threads.

   A service of the control thread, "suspects".  */

#ifndef PARSLEYRILL_SUSPECTS_H
#define PARSLEYRILL_SUSPECTS_H

#include "kernel.h"
#include "suspect.h"

#define SUSPECTS_NAME "suspects"

/* TABLE is borrowed; the traffic threads read it.  */
struct service *suspects_new (struct suspect_table *table);
void suspects_free (struct service *service);

#endif
