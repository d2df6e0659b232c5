/* ratelimits - request rates that backend servers name for all nodes together:
   connects struct ratelimit with the other nodes.

   A service of the kernel, "ratelimits".  Posts KERNEL_LIMIT_CHANGED.  One
   thread.  */

#ifndef PARSLEYRILL_RATELIMITS_H
#define PARSLEYRILL_RATELIMITS_H

#include <stdint.h>
#include "backend.h"
#include "kernel.h"
#include "ratelimit.h"

#define RATELIMITS_NAME "ratelimits"

struct ratelimits;

struct service *ratelimits_new (void);
void ratelimits_free (struct service *service);
struct ratelimits *ratelimits_find (struct kernel *kernel);

/* Server ID said NOTICE in a response to this node.  */
void ratelimits_heard (struct ratelimits *ratelimits, const char *id,
                       const struct backend_notice *notice);

/* See the functions of ratelimit.h.  */
double ratelimits_per_s (const struct ratelimits *ratelimits, const char *id);
struct ratelimit_verdict ratelimits_check (struct ratelimits *ratelimits,
                                           const char *id, uint64_t ask);
bool ratelimits_take (struct ratelimits *ratelimits, const char *id);
uint64_t ratelimits_want (struct ratelimits *ratelimits, const char *id,
                          int64_t wait_max_ms);
void ratelimits_unwant (struct ratelimits *ratelimits, const char *id,
                        uint64_t ask);
void ratelimits_prefetch (struct ratelimits *ratelimits, const char *id);

#endif
