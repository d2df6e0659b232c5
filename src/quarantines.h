/* quarantines - rejects requests that crash backend servers: connects struct
   quarantine with the other nodes and the platform's table.

   A service of the kernel, "quarantines".  Its rows, one a feature, are read
   when the node starts and while it has no link to some other node.  One
   thread.  */

#ifndef PARSLEYRILL_QUARANTINES_H
#define PARSLEYRILL_QUARANTINES_H

#include <stdint.h>
#include <time.h>
#include "blame.h"
#include "kernel.h"
#include "quarantine.h"

#define QUARANTINES_NAME "quarantines"
#define QUARANTINES_POLL_MS 1000 /* without links to all nodes */

struct quarantines;

struct service *quarantines_new (void);
void quarantines_free (struct service *service);
struct quarantines *quarantines_find (struct kernel *kernel);

/* See quarantine_check.  */
struct quarantine_verdict
quarantines_check (struct quarantines *quarantines,
                   const struct blame_request *request);

/* REQUEST was sent to server ID, and its connection broke before an answer
   began.  */
void quarantines_crashed (struct quarantines *quarantines, const char *id,
                          const struct blame_request *request);

/* Server ID responded to a request that was sent at SENT_AT.  */
void quarantines_alive (struct quarantines *quarantines, const char *id,
                        struct timespec sent_at);

/* A server began to answer REQUEST.  */
void quarantines_answered (struct quarantines *quarantines,
                           const struct blame_request *request);

#endif
