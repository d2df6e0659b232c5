/* ratelimits - request rates that backend servers name for all nodes together.

   A service of the kernel, "ratelimits".  One thread.  */

#ifndef PARSLEYRILL_RATELIMITS_H
#define PARSLEYRILL_RATELIMITS_H

#include "backend.h"
#include "kernel.h"

#define RATELIMITS_NAME "ratelimits"

struct ratelimits;

struct service *ratelimits_new (void);
void ratelimits_free (struct service *service);
struct ratelimits *ratelimits_find (struct kernel *kernel);

/* Server ID said NOTICE in a response to this node.  */
void ratelimits_heard (struct ratelimits *ratelimits, const char *id,
                       const struct backend_notice *notice);

#endif
