/* httpc - HTTP client: a curl multi handle driven by an event loop.

   All functions are called from the loop's thread.  Every call ends with
   exactly one done callback, also when httpc_free cancels it; only
   httpc_cancel ends a call without one.  A call must not be cancelled from its
   own callbacks; return -ECANCELED from body_cb instead.

   A response over a limit ends the call with -EMSGSIZE (for a single trailer
   line: -ECONNRESET) and closes the connection.  The limits hold without being
   set; a body that is passed to body_cb is not limited.

   A response whose head can be read in two ways (httpc_head.h) ends the call
   with -EPROTO and closes the connection.  A response that ends within its
   head, or after an interim response, ends the call with -EPIPE, or
   -ECONNRESET if none of its lines is whole.

   A body without a length or chunks ends with its connection.  If nobody
   listens at the server's address then, it died, and the call ends with
   -ECONNRESET.

   A request is sent at most once.  When a reused connection turns out to be
   broken, the call ends with -ECONNRESET in phase HTTPC_SENT.

   Ownership: the strings of a request and its body are copied; the user
   pointer is borrowed.  */

#ifndef PARSLEYRILL_HTTPC_H
#define PARSLEYRILL_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>
#include "loop.h"

struct httpc;
struct httpc_call;
struct membudget;

enum httpc_phase
{
  HTTPC_UNSENT,     /* nothing of the request was passed to a connection */
  HTTPC_SENT,       /* some of it may have reached the server */
  HTTPC_RESPONDING, /* a status line was received */
  HTTPC_COMPLETE    /* the response is complete according to its framing */
};

struct httpc_result
{
  int error;   /* 0, or negative errno (-ETIMEDOUT, -EPIPE...) */
  long status; /* HTTP status; 0 when none was received */
  enum httpc_phase phase;
  const char *body;         /* collected body, NUL-terminated; NULL when it
                               was passed to body_cb */
  size_t length;            /* bytes */
  double connect_s;         /* time to connect, seconds; 0 when reused */
  const char *content_type; /* "" when none */
  long retry_after_s;       /* seconds, 0 when none */
  bool reused;              /* the connection had been used before */
  bool until_close;         /* the body had no length and no chunks: it ended
                               with the connection */
  bool head_ended;          /* the whole head was received */
};

struct httpc_request
{
  const char *method; /* NULL: GET, or POST when there is a body */
  const char *url;
  const char *target; /* path and query to send; NULL: those of URL */
  const void *body;
  size_t length;
  const char *const *headers; /* "Name: value", NULL-terminated, or NULL */
  int64_t timeout_ms;         /* for the whole call; 0: none */
  int64_t idle_timeout_ms;    /* max time without receiving a byte; 0: none */
  int64_t reused_idle_timeout_ms; /* up to the first byte, on a reused
                                     connection; 0: as idle_timeout_ms */
  int64_t body_idle_timeout_ms;   /* after the start of the body; 0: as
                                     idle_timeout_ms */
  int64_t connect_timeout_ms;     /* 0: HTTPC_CONNECT_TIMEOUT_MS */
  bool fresh_connection;          /* do not reuse a connection */
  bool connect_only;         /* open a connection, send nothing and close it */
  long max_connection_age_s; /* as in struct httpc_options; 0: as there */
  size_t body_max;           /* max collected bytes; 0: HTTPC_BODY_MAX */
  /* Max bytes of status and header lines, also those of interim responses and
     of trailers; each line counts 32 bytes more.  Also max bytes between two
     chunks.  0: HTTPC_HEAD_MAX.  */
  size_t head_max;
  /* Called when one of the idle timeouts has passed.  Returns 0 to end the
     call with -ETIMEDOUT, or the time, milliseconds, after which it is called
     again if still no byte has come.  NULL: the call ends.  */
  int64_t (*silent) (void *user);
  /* Called at the end of the head; returns whether the connection may be
     reused.  NULL: it may.  */
  bool (*reusable) (void *user, long status);
  /* Called once, before the first body bytes; may be NULL.  Returns whether
     the body is to be passed to body_cb; otherwise it is collected.  */
  bool (*head) (void *user, long status, const char *content_type);
  /* Called when bytes of the body have come; may be NULL.  */
  void (*received) (void *user);
  /* Receives N bytes of the body.  Returns 0, -EAGAIN to pause (the same bytes
     are passed again after httpc_unpause), or -ECANCELED to end the call.
     NULL: the body is collected; HEAD must then be NULL too.  */
  int (*body_cb) (void *user, const char *bytes, size_t n);
  void (*done) (void *user, const struct httpc_result *result);
  void *user;
};

#define HTTPC_CONNECT_TIMEOUT_MS 1000
#define HTTPC_BODY_MAX (16u << 20)      /* bytes */
#define HTTPC_HEAD_MAX (64u << 10)      /* bytes */
#define HTTPC_COLLECTED_MAX (64u << 20) /* bytes */

struct httpc_options
{
  struct loop *loop;
  long max_connections;      /* kept open at once; 0: 256 */
  long max_connection_age_s; /* max idle time of a reused connection; 0: 60 */
  /* Max bytes of the bodies that all calls are collecting; one call may
     collect at most half of it.  0: HTTPC_COLLECTED_MAX.  */
  size_t collected_max;
  /* Where calls and collected bytes are counted; borrowed; may be NULL.  */
  struct membudget *budget;
};

/* NULL when curl cannot be initialized.  */
struct httpc *httpc_new (const struct httpc_options *options);
void httpc_free (struct httpc *httpc);

/* Time of the event loop.  */
struct timespec httpc_now (const struct httpc *httpc);

/* Starts a call.  Returns NULL only when curl is out of memory.  No callback
   runs before it returns.  */
struct httpc_call *httpc_start (struct httpc *httpc,
                                const struct httpc_request *request);
void httpc_unpause (struct httpc_call *call);
void httpc_cancel (struct httpc_call *call);

/* How far the request got; tells whether the server may have run it.  */
enum httpc_phase httpc_phase (const struct httpc_call *call);

/* A response header, or NULL.  Called from the head, body and done callbacks;
   valid until the next call.  */
const char *httpc_response_header (const struct httpc_call *call,
                                   const char *name);
/* How many headers with NAME the response has.  */
size_t httpc_response_header_count (const struct httpc_call *call,
                                    const char *name);
void httpc_each_header (const struct httpc_call *call,
                        void (*visit) (void *user, const char *name,
                                       const char *value),
                        void *user);

#endif
