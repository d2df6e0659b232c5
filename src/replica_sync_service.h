/* replica_sync_service - carries the replicas of cells from their deciders to
   this node, and from this node to the others.

   A service of the control thread, "replica_sync_service"; see spread.h.  */

#ifndef PARSLEYRILL_SPREADS_H
#define PARSLEYRILL_SPREADS_H

#include <stdbool.h>
#include <time.h>
#include "kernel.h"

#define REPLICA_SYNC_SERVICE_NAME "spreads"

struct replica_sync_service;

struct service *replica_sync_service_new (void);
void replica_sync_service_free (struct service *service);
struct replica_sync_service *replica_sync_service_find (struct kernel *kernel);

/* Whether another node loads MODEL; *READY_AT is its estimate.  */
bool replica_sync_service_loading (
    struct replica_sync_service *replica_sync_service, const char *model,
    struct timespec *ready_at);

#endif
