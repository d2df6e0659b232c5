/* planners - placement of models on all engines while this node is the
   decider, that is, holds the lease.  Any other node reports its demand to the
   decider.

   A service of the kernel, "stocker".  Runs the lease protocol and one struct
   planner for each configured service with engines, sends the planners' orders
   to the engines, and publishes the replicas on the engines to all nodes,
   where they update the servers of the service "listing".  One thread.  */

#ifndef PARSLEYRILL_PLANNERS_H
#define PARSLEYRILL_PLANNERS_H

#include <stdbool.h>
#include <time.h>
#include "demand.h"
#include "kernel.h"
#include "reqtime.h"

#define PLANNERS_NAME "stocker"

struct planners;

struct planners_options
{
  bool checks_fence; /* all engines refuse orders with an old fencing token */
};

struct service *planners_new (const struct planners_options *options);
void planners_free (struct service *service);
struct planners *planners_find (struct kernel *kernel);

/* Whether this node is the decider, as far as it knows.  */
bool planners_deciding (const struct planners *planners);

/* A request like KIND for TARGET, "MODEL" or "MODEL/ADAPTER", of SERVICE
   arrived.  */
void planners_request_arrived (struct planners *planners, const char *service,
                               const char *target,
                               const struct demand_kind *kind);

/* A request for a target of SERVICE has ended at an engine.  */
void planners_request_ended (struct planners *planners, const char *service,
                             const struct reqtime_sample *sample);

/* The first event of a request for MODEL of SERVICE took RATIO times as long
   as expected, where it did not wait for others.  */
void planners_observe_first (struct planners *planners, const char *service,
                             const char *model, double ratio);

/* WAITING requests at this node wait for TARGET now; with SOFTWARE those that
   only servers with that version may serve, otherwise NULL.  PRIORITY, 0 being
   the highest, and DEADLINE are those of the most urgent one.  */
void planners_set_waiting (struct planners *planners, const char *service,
                           const char *target, const char *software,
                           unsigned waiting, struct timespec deadline,
                           unsigned priority);

#endif
