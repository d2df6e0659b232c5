/* standin - simulated external systems for tests, the demo and the
   benchmarks: the platform, a model engine, a plain service.

   A process has one role, one loop, one thread and one HTTP server.  The
   protocols are in docs/PROTOCOLS.md.  All state is in memory and is lost when
   the process ends.

   POST /faults with a JSON object injects faults; a key keeps its value until
   it is set again.  Every role has

     "outage": "refuse" (503, not executed), "hang" (no response), "" (none)
     "slow_ms": N           each request is processed N ms late
     "lose_answers": N      the next N requests are processed, but then their
                            connection is closed without a response
     "lose_path": PREFIX    limits "lose_answers" to paths with this prefix
     "silence": true        open connections, except that of this request, get
                            no more data and are not closed; new ones work

   and each role adds its own, listed in role.h.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include "httpc.h"
#include "httpd.h"
#include "loop.h"

struct standin;

/* A request in progress.  Freed after the role's gone callback.  */
struct standin_call
{
  struct loop_timer timer; /* of the slow_ms fault */
  struct standin *standin;
  struct httpd_request *request;
  void *role;      /* owned by the role */
  bool dispatched; /* passed to the role's request callback */
};

struct standin_ops
{
  const char *name;
  int (*start) (struct standin *standin); /* 0 or negative errno */
  void (*stop) (struct standin *standin);
  void (*request) (struct standin *standin, struct standin_call *call);
  /* The following may be NULL.  GONE and WRITABLE are as in httpd.h; FAULTS is
     called after faults have changed.  */
  void (*gone) (struct standin *standin, struct standin_call *call);
  void (*writable) (struct standin *standin, struct standin_call *call);
  void (*faults) (struct standin *standin);
};

/* First member of each role's struct.  */
struct standin
{
  const struct standin_ops *ops;
  struct loop *loop;
  struct httpd *httpd;
  struct httpc *httpc;
  json_t *faults;
  GHashTable *peer_ports;   /* TCP ports of all clients so far */
  GHashTable *silent_ports; /* those that get no more data */
};

/* Binds and starts.  Returns 0 or a negative errno.  LOOP must outlive
   STANDIN.  */
int standin_start (struct standin *standin, const struct standin_ops *ops,
                   struct loop *loop, const char *address, uint16_t port);
void standin_stop (struct standin *standin);

/* Sends JSON and takes over the caller's reference to it.  */
void standin_respond (struct standin_call *call, unsigned status,
                      json_t *json);

/* {"error":{"type":TYPE,"message":MESSAGE,"not_run":NOT_RUN}} */
void standin_error (struct standin_call *call, unsigned status,
                    const char *type, const char *message, bool not_run);

/* Returns true, and decrements "lose_answers", when the response to CALL is to
   be lost.  The caller then calls httpd_drop.  */
bool standin_drops_response (struct standin_call *call);

/* Whether the client's connection is subject to the "silence" fault.  */
bool standin_is_silent (const struct standin_call *call);

/* Value of a fault; 0 or "" when it is not set.  */
int64_t standin_fault_int (const struct standin *standin, const char *name);
const char *standin_fault_str (const struct standin *standin,
                               const char *name);

/* Returns the body, which the caller must json_decref.  When it is not a JSON
   object, responds with 400 and returns NULL.  */
json_t *standin_parse_body (struct standin_call *call);

/* Counts a request by its marker: the body's "marker", else the header
   X-Marker, else Idempotency-Key.  Requests without any are not counted.  */
void standin_count_request (GHashTable *run_counts, struct standin_call *call,
                            const json_t *body);
/* {"ran":{MARKER:N}} */
json_t *standin_run_counts_json (GHashTable *run_counts);
GHashTable *standin_run_counts_new (void);

#endif
