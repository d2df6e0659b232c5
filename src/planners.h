/* planners - decides for all engines while this node holds the lease, and
   otherwise tells the node that does what is wanted here.

   A service, "planners": drives the lease and one struct planner a service
   with engines, sends orders, and tells all nodes what the engines hold, which
   is put into the servers of the service "listing".  One thread.  */

#ifndef PARSLEYRILL_PLANNERS_H
#define PARSLEYRILL_PLANNERS_H

#include <stdbool.h>
#include <time.h>
#include "kernel.h"

#define PLANNERS_NAME "stocker"

struct planners;

struct planners_options
{
  bool checks_fence; /* all engines refuse orders with an old token */
};

struct service *planners_new (const struct planners_options *options);
void planners_free (struct service *service);
struct planners *planners_find (struct kernel *kernel);

/* A request for TARGET, "MODEL" or "MODEL/ADAPTER", of SERVICE arrived.  */
void planners_request_arrived (struct planners *planners, const char *service,
                               const char *target);

/* WAITING requests wait here for TARGET now; the most urgent has PRIORITY, 0
   being the highest, and DEADLINE.  */
void planners_set_waiting (struct planners *planners, const char *service,
                           const char *target, unsigned waiting,
                           struct timespec deadline, unsigned priority);

#endif
