/* confpeer - the configuration from peers, for nodes that the platform does
   not give it.

   A service, "confpeer": tells peers which version is in force here, asks one
   that has a newer version when the platform has not given that in time, and
   hands the own one on.  Versions are ordered by the platform, and a node
   only ever takes a higher one.  */

#ifndef PARSLEYRILL_CONFPEER_H
#define PARSLEYRILL_CONFPEER_H

#include "kernel.h"

struct service *confpeer_new (void);
void confpeer_free (struct service *service); /* NULL allowed */

#endif
