/* traffic - the threads that handle callers' requests.

   Each thread runs one event loop with an HTTP server on the shared port, an
   HTTP client, an inbox for messages from the control thread and a reader of
   the route tables.  A request stays in the thread that accepted it.

   traffic_new, traffic_start, traffic_drain, traffic_close, traffic_stop and
   traffic_free must be called from one thread; the other functions may be
   called from any.  */

#ifndef PARSLEYRILL_TRAFFIC_H
#define PARSLEYRILL_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>
#include "clk.h"
#include "msg.h"
#include "ring.h"
#include "route.h"
#include "suspect_table.h"

struct traffic;

/* All pointers are borrowed and must outlive the module.  */
struct traffic_options
{
  const struct clk *clk;
  const char *address; /* numeric IPv4 address */
  uint16_t port;       /* host byte order; 0: chosen by the system */
  unsigned threads;    /* 0: 1 */
  struct route *route;
  struct ring *to_control;
  const struct suspect_table *suspects; /* NULL: no strikes are known */
  const char *node; /* id of this node, as in struct route_node */
  const char *zone;
  const char *region;
  const char *operator_token;  /* NULL or "": /admin/ is refused */
  unsigned entry_ttl_s;        /* how long a caller may cache an address */
  int64_t default_deadline_ms; /* for requests without a deadline; 0: 60 s */
  int64_t idle_timeout_ms;     /* of a streaming backend server; 0: 10 s */
  unsigned max_connections;    /* from callers, per thread; 0: 4096 */
  unsigned memory_mb;      /* of the process; 0: not known, no limits follow */
  unsigned fd_limit;       /* the same */
  unsigned idle_timeout_s; /* of a caller's connection; 0: 30 */
};

/* Binds the port in every thread's server.  Returns 0 and sets *OUT, or a
   negative errno.  */
int traffic_new (const struct traffic_options *options, struct traffic **out);

/* Starts the threads.  On failure returns a negative errno and no thread
   runs.  */
int traffic_start (struct traffic *traffic);

uint16_t traffic_port (const struct traffic *traffic);
unsigned traffic_threads (const struct traffic *traffic);

/* Takes ownership of MESSAGE, also on failure.  -EAGAIN when the thread's
   inbox is full, -EINVAL when there is no such thread.  */
int traffic_send (struct traffic *traffic, unsigned thread,
                  struct msg *message);

/* Sends an otherwise empty message of TYPE to every thread.  */
int traffic_broadcast (struct traffic *traffic, enum msg_type type);

/* Starts a graceful shutdown: /readyz returns 503 and lookup responses of this
   node no longer list it.  Requests are served as before.  */
void traffic_drain (struct traffic *traffic);

/* From now on, requests are rejected; those in progress are completed.  A
   thread that does not see it yet counts its request as open.  */
void traffic_close (struct traffic *traffic);

/* Number of requests whose response is not complete, over all threads.  */
unsigned traffic_open_requests (const struct traffic *traffic);

/* Stops the threads.  Responses in progress are truncated.  */
void traffic_stop (struct traffic *traffic);
void traffic_free (struct traffic *traffic);

#endif
