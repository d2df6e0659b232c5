/* replica_sync_service - exchanges the replica lists of cells with peers.

   A service of the control thread, "spreads"; see replica_sync.h.  */

#ifndef PARSLEYRILL_REPLICA_SYNC_SERVICE_H
#define PARSLEYRILL_REPLICA_SYNC_SERVICE_H

#include <stdbool.h>
#include <time.h>
#include "kernel.h"

#define REPLICA_SYNC_SERVICE_NAME "spreads"

struct replica_sync_service;

struct service *replica_sync_service_new (void);
void replica_sync_service_free (struct service *service);
struct replica_sync_service *replica_sync_service_find (struct kernel *kernel);

/* Whether a cell with another leaseholder is loading MODEL; then sets
 *READY_AT to the estimated time of completion.  */
bool replica_sync_service_loading (struct replica_sync_service *sync,
                                   const char *model,
                                   struct timespec *ready_at);

#endif
