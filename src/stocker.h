/* stocker - decides for all engines while this node holds the lease, and
   otherwise tells the node that does what is wanted here.

   A service, "stocker": drives the lease and one struct stock a service with
   engines, sends orders, and tells all nodes what the engines hold, which is
   put into the servers of the service "listing".  One thread.  */

#ifndef PARSLEYRILL_STOCKER_H
#define PARSLEYRILL_STOCKER_H

#include <stdbool.h>
#include <time.h>
#include "kernel.h"

#define STOCKER_NAME "stocker"

struct stocker;

struct stocker_options
{
  bool checks_fence; /* all engines refuse orders with an old token */
};

struct service *stocker_new (const struct stocker_options *options);
void stocker_free (struct service *service);
struct stocker *stocker_find (struct kernel *kernel);

/* A request for TARGET, "MODEL" or "MODEL/ADAPTER", of SERVICE arrived.  */
void stocker_call (struct stocker *stocker, const char *service,
                   const char *target);

/* WAITING requests wait here for TARGET now; the most urgent has PRIORITY, 0
   being the highest, and DEADLINE.  */
void stocker_want (struct stocker *stocker, const char *service,
                   const char *target, unsigned waiting,
                   struct timespec deadline, unsigned priority);

#endif
