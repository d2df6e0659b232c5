/* backend_http - struct backend_ops over HTTP, see docs/PROTOCOLS.md.

   An order of which no byte was written to a connection, and one that the
   engine refuses, ends with BACKEND_REFUSED; an order without a response ends
   with BACKEND_UNKNOWN.  An order is abandoned after its timeout, so a sender
   whose lease ends at T has to send it before T - order_ms.

   Each order uses a new connection, since a pooled one may have stopped
   responding and would delay it.  Control thread only.  */

#ifndef PARSLEYRILL_BACKEND_HTTP_H
#define PARSLEYRILL_BACKEND_HTTP_H

#include "backend.h"
#include "httpc.h"

struct backend_http_options
{
  struct httpc *httpc; /* borrowed; must outlive the backend */
  int64_t order_ms;    /* timeout; 0: BACKEND_HTTP_ORDER_MS */
  int64_t report_ms;   /* timeout; 0: BACKEND_HTTP_REPORT_MS */
};

#define BACKEND_HTTP_ORDER_MS 1000
#define BACKEND_HTTP_REPORT_MS 1000
#define BACKEND_HTTP_CONNECT_MS 300

struct backend *backend_http_new (const struct backend_http_options *options);

/* Completes pending calls with BACKEND_UNKNOWN, or BACKEND_REFUSED when they
   are unsent, before it returns.  */
void backend_http_free (struct backend *backend);

#endif
