/* httpc - HTTP client: one curl multi handle on one loop.

   All calls come from the loop's thread.  Every call made ends with exactly
   one done callback, also when it is cancelled by httpc_free; httpc_cancel
   alone ends a call without one.  A call may not be cancelled from its own
   callbacks: return -ECANCELED from body instead.

   A request is handed to a connection once.  When a kept connection turns out
   to be broken, the call ends with -ECONNRESET in phase HTTPC_SENT.

   Ownership: strings of the options are copied, BODY included; the user
   pointer is borrowed.  */

#ifndef PARSLEYRILL_HTTPC_H
#define PARSLEYRILL_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include "loop.h"

struct httpc;
struct httpc_call;

enum httpc_phase
{
  HTTPC_UNSENT,     /* no byte of the request was handed to a connection */
  HTTPC_SENT,       /* some of it may have reached the server */
  HTTPC_RESPONDING, /* a status line came back */
  HTTPC_COMPLETE    /* the answer is whole by its own framing */
};

struct httpc_result
{
  int error;   /* 0, or negative errno (-ETIMEDOUT, -EPIPE...) */
  long status; /* HTTP status; 0 when none came */
  enum httpc_phase phase;
  const char *body;         /* collected body, NUL-terminated; NULL when the
                               body callback took it */
  size_t length;            /* bytes */
  double connect_s;         /* seconds to the connection, 0 when reused */
  const char *content_type; /* "" when none */
  long retry_after_s;       /* seconds, 0 when none */
  bool reused;              /* the connection had been used before */
};

struct httpc_request
{
  const char *method; /* NULL: GET, or POST when there is a body */
  const char *url;
  const char *target; /* path and query as they are sent; NULL: URL's */
  const void *body;
  size_t length;
  const char *const *headers;     /* "Name: value", NULL-terminated, or NULL */
  int64_t timeout_ms;             /* for the whole call; 0: none */
  int64_t idle_timeout_ms;        /* without a byte received; 0: none */
  int64_t reused_idle_timeout_ms; /* before the first byte, on a connection
                                used before; 0: as idle_timeout_ms */
  int64_t body_idle_timeout_ms;   /* once the body has begun; 0: as
                                     idle_timeout_ms */
  int64_t connect_timeout_ms;     /* 0: HTTPC_CONNECT_TIMEOUT_MS */
  bool fresh_connection;          /* never on a connection used before */
  size_t body_max; /* bytes collected at most; 0: HTTPC_BODY_MAX */
  /* Called once, before the first body bytes; may be NULL.  */
  void (*head) (void *user, long status, const char *content_type);
  /* Takes N bytes as they come.  0; -EAGAIN to pause (the same bytes come
     again after httpc_unpause); -ECANCELED to end the call.  NULL: the body
     is collected.  */
  int (*body_cb) (void *user, const char *bytes, size_t n);
  void (*done) (void *user, const struct httpc_result *result);
  void *user;
};

#define HTTPC_CONNECT_TIMEOUT_MS 1000
#define HTTPC_BODY_MAX (16u << 20) /* bytes */

struct httpc_options
{
  struct loop *loop;
  long max_connections;      /* kept open at once; 0: 256 */
  long max_connection_age_s; /* idle, and still used again; 0: 60 */
};

/* NULL when curl cannot be set up.  */
struct httpc *httpc_new (const struct httpc_options *options);
void httpc_free (struct httpc *httpc);

/* Starts a call; NULL only when curl has no memory.  No callback runs before
   it returns.  */
struct httpc_call *httpc_start (struct httpc *httpc,
                                const struct httpc_request *request);
void httpc_unpause (struct httpc_call *call);
void httpc_cancel (struct httpc_call *call);

/* How far the request has got, for the question whether it may have run.  */
enum httpc_phase httpc_phase (const struct httpc_call *call);

/* A header of the answer, NULL when there is none of that name; for the
   head, body and done callbacks.  Valid until the next call.  */
const char *httpc_response_header (const struct httpc_call *call,
                                   const char *name);
void httpc_each_header (const struct httpc_call *call,
                        void (*visit) (void *user, const char *name,
                                       const char *value),
                        void *user);

#endif
