/* gateway - the addresses that this node serves: requests of callers, address
   lookup, readiness, and metrics.

   A service named "gateway".  Single-threaded.  */

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
  const char *zone; /* of this node */
  int64_t drain_ms; /* of a planned stop, until open requests are ended */
  unsigned max_connections; /* from callers */
  /* Limit of retries that all nodes together may send to a service: a
     share of its requests, plus a burst.  */
  double retry_share;
  unsigned retry_burst;
  /* Time over which that limit is measured.  A node that has started more
     recently does not use the burst.  0: it may.  */
  int64_t retry_window_ms;
  /* Time within which a new configuration is in force at all nodes.  */
  int64_t config_ms;
};

struct service *gateway_new (const struct gateway_options *options);
void gateway_free (struct service *service);

/* The port for callers' requests, in host byte order.  */
uint16_t gateway_port (const struct service *service);

/* Ends the requests in progress, each with a response unless one has begun.
   They count as open until it is sent.  */
void gateway_end_requests (struct service *service);

/* Number of callers' requests in progress.  */
unsigned gateway_open_requests (const struct service *service);

#endif
