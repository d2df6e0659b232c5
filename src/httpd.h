/* httpd - HTTP server: one libmicrohttpd daemon inside one loop.

   All calls come from the loop's thread.  A request is handed over when its
   body is whole.  It is answered once: either by httpd_respond, or by
   httpd_stream_begin, any number of httpd_stream_write, and
   httpd_stream_end or httpd_stream_abort.

   Ownership: a struct httpd_request belongs to the module and lives until
   the gone callback, which comes exactly once for every request that was
   handed over: after the last byte was taken, or when the caller went away
   or the server is freed.  No call with the request is allowed after it.  */

#ifndef PARSLEYRILL_HTTPD_H
#define PARSLEYRILL_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "loop.h"

struct httpd;
struct httpd_request;

enum httpd_reject
{
  HTTPD_REJECT_BODY_TOO_LARGE,
  HTTPD_REJECT_MALFORMED
};

struct httpd_options
{
  struct loop *loop;
  const char *address;      /* IPv4 address in numbers */
  uint16_t port;            /* host order; 0: the kernel chooses */
  bool share_port;          /* several servers listen on the same port */
  unsigned max_connections; /* 0: 4096 */
  /* Without a byte; a request must come within twice this.  0: 30.  */
  unsigned idle_timeout_s;
  size_t body_max; /* bytes; 0: HTTPD_BODY_MAX */
  /* Bytes of a connection; bounds the head of a request.  0:
     HTTPD_HEAD_MEMORY.  */
  size_t head_memory;
  void (*request) (void *user, struct httpd_request *request);
  /* The request will not be used any more; see Ownership.  */
  void (*gone) (void *user, struct httpd_request *request, bool complete);
  /* A stream's buffer has drained below half; may be NULL.  */
  void (*writable) (void *user, struct httpd_request *request);
  /* Input that was refused inside the module; may be NULL.  */
  void (*rejected) (void *user, enum httpd_reject why);
  void *user;
};

#define HTTPD_BODY_MAX (4u << 20)       /* bytes */
#define HTTPD_HEAD_MEMORY (16u << 10)   /* bytes */
#define HTTPD_STREAM_BUFFER (64u << 10) /* bytes held for a slow reader */

/* 0 and *OUT, or a negative errno.  */
int httpd_new (const struct httpd_options *options, struct httpd **out);
void httpd_free (struct httpd *httpd);

/* The port listened on, host order.  */
uint16_t httpd_port (const struct httpd *httpd);

/* The longest body taken, in bytes, of requests that are not read yet.  */
void httpd_set_body_max (struct httpd *httpd, size_t bytes);

/* Stops accepting connections; open ones go on.  */
void httpd_quiesce (struct httpd *httpd);

/* Requests handed over whose gone callback is still to come.  */
unsigned httpd_open_requests (const struct httpd *httpd);

const char *httpd_method (const struct httpd_request *request);
const char *httpd_path (const struct httpd_request *request);
/* Path and query as they came, not decoded.  */
const char *httpd_uri (const struct httpd_request *request);
/* NULL when there is none of that name.  */
const char *httpd_query (const struct httpd_request *request,
                         const char *name);
const char *httpd_header (const struct httpd_request *request,
                          const char *name);
void httpd_each_header (const struct httpd_request *request,
                        void (*visit) (void *user, const char *name,
                                       const char *value),
                        void *user);
/* The body with a NUL after it.  */
const char *httpd_body (const struct httpd_request *request, size_t *length);

/* The caller's own pointer on a request, NULL at first.  */
void httpd_set_user (struct httpd_request *request, void *user);
void *httpd_get_user (const struct httpd_request *request);

/* HEADERS is NULL or name, value, name, value, ..., NULL.  BODY is copied.  */
void httpd_respond (struct httpd_request *request, unsigned status,
                    const char *content_type, const char *const *headers,
                    const void *body, size_t length);

void httpd_stream_begin (struct httpd_request *request, unsigned status,
                         const char *content_type, const char *const *headers);
/* -EAGAIN, and nothing taken, when the buffer is over HTTPD_STREAM_BUFFER;
   the writable callback tells when to go on.  */
int httpd_stream_write (struct httpd_request *request, const void *bytes,
                        size_t length);
void httpd_stream_end (struct httpd_request *request);
/* After the bytes written so far, closes the connection without the end of
   the answer, so that the caller sees that it is cut.  */
void httpd_stream_abort (struct httpd_request *request);

/* Closes the connection with no answer at all; instead of httpd_respond.  */
void httpd_drop (struct httpd_request *request);

/* TCP port of the other end, host order; 0 when it is not known.  */
uint16_t httpd_peer_port (const struct httpd_request *request);

#endif
