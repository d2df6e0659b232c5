/* exchange - one attempt of a request at one backend server.

   Sends the request, matches the answer by its attempt id, and tells whether
   the answer is whole: a stream of an engine by its closing event, any other
   answer by its framing.

   Every exchange ends with one end callback, but for one that is cancelled.
   The callbacks run on the worker's thread.  Ownership: options are borrowed
   for the length of exchange_start; the engine is held and counted as busy
   until the end; the exchange frees itself after end or exchange_cancel.  */

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

#define EXCHANGE_BODY_MAX                                                     \
  (16u << 20) /* bytes of an answer that is no stream */

struct exchange_result
{
  /* ERROR is 0 only for a whole answer, -EPIPE for a cut one, -EBADMSG for
     one of another attempt.  BODY is NULL when the answer was streamed.  */
  struct httpc_result http;
  const char *const *headers; /* end-to-end ones: name, value, ..., NULL */
  bool streamed;              /* the body went through bytes */
  uint64_t events;            /* of a stream, let through */
  struct timespec first_byte; /* duration to it; 0: none came */
  struct timespec duration;
};

struct exchange_ops
{
  /* A stream follows; of RESULT, only status, content type and headers.  */
  void (*begin) (void *user, const struct exchange_result *result);
  int (*bytes) (void *user, const char *bytes, size_t n); /* 0, -EAGAIN */
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
  const char *const *headers; /* "Name: value", NULL-terminated */
  const void *body;
  size_t length;
  int64_t timeout_ms;             /* of the whole; 0: none */
  int64_t idle_timeout_ms;        /* without a byte of an answer; 0: any */
  int64_t reused_idle_timeout_ms; /* these two as in httpc.h */
  int64_t body_idle_timeout_ms;
  bool closes; /* a stream ends with a closing event, and the answer
                  echoes the attempt id */
  bool fresh;  /* only on a connection of its own */
};

/* NULL when the client has no memory.  */
struct exchange *exchange_start (const struct exchange_options *options);
void exchange_resume (struct exchange *exchange);
/* Closes the connection, which cancels the request at the backend server.  */
void exchange_cancel (struct exchange *exchange);
enum httpc_phase exchange_phase (const struct exchange *exchange);

#endif
