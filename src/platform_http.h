/* platform_http - struct platform_ops over HTTP, as in docs/PROTOCOLS.md.

   Each call has a timeout.  A call that was not sent at all, and one that the
   platform reports as not executed, ends with PLATFORM_REFUSED; any other
   failure with PLATFORM_UNKNOWN.  A read whose connection breaks is retried
   once, a write never.  While calls fail, each new one opens a new connection,
   so that connections that no longer respond are not reused.

   Control thread only.  Failures are counted; the start and the end of an
   outage are logged.  */

#ifndef PARSLEYRILL_PLATFORM_HTTP_H
#define PARSLEYRILL_PLATFORM_HTTP_H

#include "httpc.h"
#include "platform.h"

struct platform_http_options
{
  struct httpc *httpc; /* borrowed, outlives this */
  const char *address; /* IP:port, copied */
  int64_t timeout_ms;  /* of the entire call; 0: PLATFORM_HTTP_TIMEOUT_MS */
  int64_t connect_timeout_ms; /* 0: PLATFORM_HTTP_CONNECT_TIMEOUT_MS */
};

#define PLATFORM_HTTP_TIMEOUT_MS 2000
#define PLATFORM_HTTP_CONNECT_TIMEOUT_MS 500

struct platform *
platform_http_new (const struct platform_http_options *options);

/* Before it returns, pending calls end with PLATFORM_UNKNOWN, or with
   PLATFORM_REFUSED when unsent.  */
void platform_http_free (struct platform *platform);

#endif
