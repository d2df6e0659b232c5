/* confpeer - fetches the configuration from peers when the platform does not
   deliver it.

   A service, "confpeer": announces the applied version to peers, requests a
   newer one from a peer if the platform has not delivered it in time, and
   answers such requests.  The platform orders the versions, and a node
   accepts only a higher one.  */

#ifndef PARSLEYRILL_CONFPEER_H
#define PARSLEYRILL_CONFPEER_H

#include "kernel.h"

struct service *confpeer_new (void);
void confpeer_free (struct service *service); /* may be NULL */

#endif
