/* traffic - the threads that hold callers' requests.

   Each thread runs one loop with an HTTP server on the shared port, an HTTP
   client, an inbox of messages from the control thread and a reader of the
   route tables.  A request stays in the thread that accepted it.

   traffic_new, traffic_start, traffic_drain, traffic_stop and traffic_free
   come from one thread; the others may come from any.  */

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

/* Everything is borrowed and outlives the module.  */
struct traffic_options
{
  const struct clk *clk;
  const char *address; /* IPv4 address in numbers */
  uint16_t port;       /* host order; 0: the kernel chooses */
  unsigned threads;    /* 0: 1 */
  struct route *route;
  struct ring *to_control;
  const struct suspect_table *suspects; /* NULL: no strikes are known */
  const char *node; /* id of this node, as in struct route_node */
  const char *zone;
  const char *region;
  const char *operator_token;  /* NULL or "": /admin/ is refused */
  unsigned entry_ttl_s;        /* how long a caller keeps an address */
  int64_t default_deadline_ms; /* for calls that name none; 0: 60 s */
  int64_t idle_timeout_ms;     /* of a backend server that answers; 0: 10 s */
  unsigned max_connections;    /* callers' connections a thread; 0: 4096 */
  unsigned idle_timeout_s;     /* caller's connection without a byte; 0: 30 */
};

/* Binds the port in every thread's server.  0 and *OUT, or negative
   errno.  */
int traffic_new (const struct traffic_options *options, struct traffic **out);

/* Starts the threads.  Negative errno; none runs then.  */
int traffic_start (struct traffic *traffic);

uint16_t traffic_port (const struct traffic *traffic);
unsigned traffic_threads (const struct traffic *traffic);

/* MESSAGE passes to the module, also on failure.  -EAGAIN when the thread's
   inbox is full, -EINVAL when there is no such thread.  */
int traffic_send (struct traffic *traffic, unsigned thread,
                  struct msg *message);

/* A message of TYPE, without anything else in it, to every thread.  */
int traffic_broadcast (struct traffic *traffic, enum msg_type type);

/* Planned stop: /readyz turns to 503 and lookup answers of this node leave
   itself out; requests are served as before.  */
void traffic_drain (struct traffic *traffic);

/* Requests not answered to the last byte, over all threads.  */
unsigned traffic_open_requests (const struct traffic *traffic);

/* Ends the threads; answers under way are cut.  */
void traffic_stop (struct traffic *traffic);
void traffic_free (struct traffic *traffic);

#endif
