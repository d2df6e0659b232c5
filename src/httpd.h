/* httpd - HTTP server: a libmicrohttpd daemon driven by an event loop.

   All functions are called from the loop's thread.  A request is passed to the
   request callback when its body is complete.  It gets one response: either
   httpd_respond, or httpd_stream_begin, any number of httpd_stream_write, and
   httpd_stream_end or httpd_stream_abort.

   Ownership: a struct httpd_request belongs to this module and is valid until
   the gone callback, which is called exactly once for every request that was
   passed to the request callback: when the response is complete, the client
   has disconnected or the server is freed.  The request must not be used
   afterwards.

   A request that could be read in more than one way is answered with 400 and
   not passed to the request callback, see httpd_head.h.  Nothing that follows
   it on its connection is read, and neither is what follows a chunked body:
   libmicrohttpd accepts chunk lines that other readers take to end later.  */

#ifndef PARSLEYRILL_HTTPD_H
#define PARSLEYRILL_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "loop.h"

struct httpd;
struct httpd_request;
struct membudget;

enum httpd_reject
{
  HTTPD_REJECT_BODY_TOO_LARGE,
  HTTPD_REJECT_MALFORMED,
  HTTPD_REJECT_UNPARSED, /* by libmicrohttpd; the fault is the reason phrase */
  HTTPD_REJECT_BUSY,     /* too little memory or too few descriptors: 503 */
  HTTPD_REJECT_MEMORY,   /* closed: held most while others asked */
  HTTPD_REJECT_CONNECTIONS, /* closed: idlest of too many */
  HTTPD_REJECT_SLOW_HEAD,
  HTTPD_REJECT_SLOW_BODY,
  HTTPD_REJECT_SLOW_READER,
  HTTPD_REJECT_UNWANTED_BODY /* long body of a request that is refused */
};

struct httpd_options
{
  struct loop *loop;
  const char *address; /* IPv4, dotted decimal */
  uint16_t port;       /* host order; 0: chosen by the kernel */
  bool share_port;     /* SO_REUSEPORT: several servers may use the port */
  unsigned max_connections; /* 0: 4096 */
  /* Idle connections are closed after this time; a request must be complete
     within twice this time.  0: 30.  */
  unsigned idle_timeout_s;
  /* Bytes; 0: HTTPD_BODY_MAX.  A longer body is answered with 413: at its end,
     or at once when it is said to be HTTPD_DISCARD_MAX bytes longer, or after
     so many bytes more.  */
  size_t body_max;
  /* Memory of a connection in bytes; limits the size of a request's headers.
     0: HTTPD_HEAD_MEMORY.  */
  size_t head_memory;
  /* From the first byte of a head to its last, milliseconds; 0: 5000.  */
  int64_t head_timeout_ms;
  /* Without a byte of a body, without a byte of a response being taken, and
     between two requests, milliseconds; 0: as idle_timeout_s.  */
  int64_t idle_ms;
  /* Memory and descriptors of the thread; borrowed; NULL: no limits.  */
  struct membudget *budget;
  /* Called when the head of a request with a body is complete.  Returns
     whether the response depends on the body.  If not, the request callback
     gets the request without it: after a short body, which is read and
     dropped, or else at once, and the connection is closed after the response
     (to POST and PUT; with other methods the body is read in any case, and the
     connection closed after 1 MiB).  NULL: it does.  */
  bool (*wants_body) (void *user, struct httpd_request *request);
  void (*request) (void *user, struct httpd_request *request);
  /* The request is about to be freed; see Ownership.  */
  void (*gone) (void *user, struct httpd_request *request, bool complete);
  /* Called after httpd_stream_write returned -EAGAIN, when at most half of
     HTTPD_STREAM_BUFFER is still used; may be NULL.  */
  void (*writable) (void *user, struct httpd_request *request);
  /* This module rejected a request; may be NULL.  FAULT is a string constant;
     NULL: none.  */
  void (*rejected) (void *user, enum httpd_reject why, const char *fault);
  void *user;
};

#define HTTPD_BODY_MAX (4u << 20)       /* bytes */
#define HTTPD_DISCARD_MAX (1u << 20)    /* bytes */
#define HTTPD_HEAD_MEMORY (16u << 10)   /* bytes */
#define HTTPD_STREAM_BUFFER (64u << 10) /* bytes, for a slow client */

/* Returns 0 and sets *OUT, or a negative errno.  */
int httpd_new (const struct httpd_options *options, struct httpd **out);
void httpd_free (struct httpd *httpd);

/* The port listened on, host order.  */
uint16_t httpd_port (const struct httpd *httpd);

/* Sets the maximum size in bytes of bodies that are still to be received.  */
void httpd_set_body_max (struct httpd *httpd, size_t bytes);

/* Sets head_timeout_ms and idle_ms of the options.  */
void httpd_set_timeouts (struct httpd *httpd, int64_t head_ms,
                         int64_t idle_ms);

/* Stops accepting connections; open ones are kept.  */
void httpd_quiesce (struct httpd *httpd);

/* Requests passed to the request callback and not gone yet.  */
unsigned httpd_open_requests (const struct httpd *httpd);

const char *httpd_method (const struct httpd_request *request);
const char *httpd_path (const struct httpd_request *request);
/* Raw path and query, not percent-decoded, without scheme and host.  */
const char *httpd_uri (const struct httpd_request *request);
/* NULL when absent.  */
const char *httpd_query (const struct httpd_request *request,
                         const char *name);
const char *httpd_header (const struct httpd_request *request,
                          const char *name);
/* How many header lines have NAME.  */
unsigned httpd_header_count (const struct httpd_request *request,
                             const char *name);
void httpd_each_header (const struct httpd_request *request,
                        void (*visit) (void *user, const char *name,
                                       const char *value),
                        void *user);
/* The body, NUL-terminated.  */
const char *httpd_body (const struct httpd_request *request, size_t *length);

/* Whether the request has a body that was not kept, because wants_body said
   so.  Such a request must not be passed on.  */
bool httpd_body_dropped (const struct httpd_request *request);

/* User pointer of a request, initially NULL.  */
void httpd_set_user (struct httpd_request *request, void *user);
void *httpd_get_user (const struct httpd_request *request);

/* HEADERS is NULL or name, value, name, value, ..., NULL.  BODY is copied.  */
void httpd_respond (struct httpd_request *request, unsigned status,
                    const char *content_type, const char *const *headers,
                    const void *body, size_t length);

void httpd_stream_begin (struct httpd_request *request, unsigned status,
                         const char *content_type, const char *const *headers);
/* Returns -EAGAIN and buffers nothing when more than HTTPD_STREAM_BUFFER bytes
   are buffered; write again after the writable callback.  */
int httpd_stream_write (struct httpd_request *request, const void *bytes,
                        size_t length);
void httpd_stream_end (struct httpd_request *request);
/* Closes the connection after the bytes written so far without terminating the
   response, so that the client detects the truncation.  */
void httpd_stream_abort (struct httpd_request *request);

/* Closes the connection without a response; replaces httpd_respond.  */
void httpd_drop (struct httpd_request *request);

/* TCP port of the client, host order; 0 when unknown.  */
uint16_t httpd_peer_port (const struct httpd_request *request);

#endif
