/* exchange - one attempt of a request at one backend server.

   Sends the request, matches the response by its attempt id, and checks that
   the response is complete: a stream of an engine by its closing event, any
   other response by its framing.

   Every exchange ends with one end callback, unless it is cancelled.
   Callbacks run on the worker's thread.

   Ownership: options are borrowed for the duration of exchange_start.  Until
   it ends, the exchange holds a reference to the engine and is counted in
   engine->inflight.  It frees itself after the end callback or
   exchange_cancel.  */

#ifndef PARSLEYRILL_EXCHANGE_H
#define PARSLEYRILL_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "httpc.h"
#include "route.h"
#include "worker.h"

struct exchange;

struct exchange_result
{
  /* ERROR is 0 only for a complete response, -EPIPE for a truncated one, and
     -EBADMSG for one with the id of another attempt.  BODY is NULL when the
     response was streamed.  */
  struct httpc_result http;
  const char *const *headers; /* end-to-end headers: name, value, ..., NULL */
  bool streamed;              /* the body was passed to the bytes callback */
  uint64_t events;            /* events of the stream that were passed on */
  struct timespec first_byte; /* time to first byte; 0: none received */
  struct timespec duration;
};

struct exchange_ops
{
  /* A stream begins.  RESULT has only status, content type and headers.  */
  void (*begin) (void *user, const struct exchange_result *result);
  int (*bytes) (void *user, const char *bytes, size_t n); /* 0, -EAGAIN */
  /* An idle timeout has passed; SILENCE is the time since the last byte, or
     since the start.  Returns as httpc_request.silent.  */
  int64_t (*silent) (void *user, struct timespec silence);
  void (*end) (void *user, const struct exchange_result *result);
};

struct exchange_options
{
  struct worker *worker;
  struct route_engine *engine;
  const struct exchange_ops *ops;
  void *user;
  const char *id; /* attempt id */
  const char *method;
  const char *path;           /* path and query */
  const char *const *headers; /* "Name: value" strings, NULL-terminated */
  const void *body;
  size_t length;
  int64_t timeout_ms;             /* for the whole exchange; 0: none */
  int64_t idle_timeout_ms;        /* without a byte received; 0: none */
  int64_t reused_idle_timeout_ms; /* this and the next one as in httpc.h */
  int64_t body_idle_timeout_ms;
  bool expects_done_event; /* a stream ends with a closing event, and the
                              response echoes the attempt id */
  bool new_connection;     /* do not reuse a connection */
};

/* NULL when the HTTP client is out of memory.  */
struct exchange *exchange_start (const struct exchange_options *options);
void exchange_resume (struct exchange *exchange);
/* Closes the connection, which cancels the request at the backend server.  */
void exchange_cancel (struct exchange *exchange);
enum httpc_phase exchange_phase (const struct exchange *exchange);

#endif
