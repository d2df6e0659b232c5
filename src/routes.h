/* routes - builds the routing table from the document, the fleet, the cells
   and the live nodes, and publishes it.

   A service of the control thread, "routes".  Changes of nodes, replicas or
   configuration are published within CHANGE_DELAY_MS and changes of load
   within LOAD_DELAY_MS; MIN_INTERVAL_FACTOR limits the rate (see
   routes.c).  */

#ifndef PARSLEYRILL_ROUTES_H
#define PARSLEYRILL_ROUTES_H

#include "kernel.h"

#define ROUTES_NAME "routes"

struct service *routes_new (void);
void routes_free (struct service *service);

#endif
