/* gateway - the addresses that this node serves: requests of callers, the
   question where to connect, readiness, and metrics.

   A service, "gateway".  One thread.  */

#ifndef PARSLEYRILL_GATEWAY_H
#define PARSLEYRILL_GATEWAY_H

#include <stdint.h>
#include "caller.h"
#include "kernel.h"

struct gateway;

struct gateway_address
{
  const char *address; /* IPv4; NULL: not served */
  uint16_t port;
};

struct gateway_options
{
  const struct caller *caller; /* borrowed */
  struct gateway_address front;
  struct gateway_address directory;
  struct gateway_address ready;
  struct gateway_address metrics;
  const char *zone;         /* of this node */
  int64_t drain_ms;         /* a planned stop takes no longer */
  unsigned max_connections; /* of callers */
  /* Repeats that all nodes together may send to a service: a share of its
     requests, and so many beside, saved up.  */
  double retry_share;
  unsigned retry_burst;
};

struct service *gateway_new (const struct gateway_options *options);
void gateway_free (struct service *service);

/* The port that callers' requests come to, host order.  */
uint16_t gateway_port (const struct service *service);

/* Requests of callers that are not over.  */
unsigned gateway_open_requests (const struct service *service);

#endif
