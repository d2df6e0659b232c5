/* forward_state - what the modules forward, forward_send and forward_answer
   share of one request.  Private to them.  */

#ifndef PARSLEYRILL_FORWARD_STATE_H
#define PARSLEYRILL_FORWARD_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "attempt.h"
#include "forward.h"
#include "log.h"
#include "sse.h"
#include "site.h"

#define FORWARD_SENDS_MAX 6 /* to servers, those that refused included */

enum forward_state
{
  FORWARD_NEW,
  FORWARD_WAITING,
  FORWARD_SENT,
  FORWARD_OVER
};

struct forward
{
  TAILQ_ENTRY (forward) link; /* while FORWARD_WAITING */
  struct gateway *gateway;
  struct httpd_request *request; /* NULL: gone */
  struct caller_request asked;
  struct site *site; /* held */
  const struct site_route *route;
  const struct site_service *service;
  char *target; /* model or adapter; NULL: of a plain service */
  enum forward_state state;
  struct timespec arrived;
  struct timespec deadline;
  struct loop_timer timer;              /* deadline */
  struct attempt attempts[ATTEMPT_MAX]; /* that may have run */
  size_t count;
  unsigned sends;
  const char *tried[FORWARD_SENDS_MAX]; /* ids, of the engines below */
  struct route_engine *engines[FORWARD_SENDS_MAX];
  size_t tried_count;
  struct httpc_call *call;     /* NULL: none under way */
  struct route_engine *engine; /* of CALL */
  struct pick_explanation why;
  struct timespec sent_at;
  struct timespec first_at;      /* first byte of the answer; zero: none */
  struct caller_response answer; /* of the answer under way */
  bool judged;                   /* ANSWER is filled */
  bool streaming;                /* the answer under way is passed on */
  bool begun;                    /* the caller has a head */
  struct sse sse;                /* of the stream under way */
  GString *held;                 /* body so far, or part of an event */
  bool can_resume;               /* LAST_EVENT is known */
  uint64_t last_event;
};

static inline struct timespec
forward_now (const struct forward *forward)
{
  return clk_now (forward->gateway->core->clk);
}

static inline bool
forward_not_run (const struct forward *forward)
{
  return attempt_not_run (forward->attempts, forward->count);
}

/* forward.c */

/* The final answer of the node itself.  RETRY_MS 0: no word on when to come
   back.  */
void forward_refuse (struct forward *forward, unsigned status, const char *why,
                     int64_t retry_ms);
/* Ends what cannot be served: says that it has not run only if so.  */
void forward_fail (struct forward *forward, const char *why, int64_t retry_ms);
void forward_over (struct forward *forward);

/* forward_send.c */

/* Sends the request to a backend server, lets it wait, or refuses it.  */
void forward_seek (struct forward *forward);
/* Takes it out of those that wait.  */
void forward_leave (struct forward *forward);
/* Ends the sending under way; closing its connection ends the work there.  */
void forward_cancel (struct forward *forward);
/* ENGINE will not be used again for this request.  */
void forward_note_tried (struct forward *forward);

/* forward_answer.c */
void forward_on_head (void *user, long status, const char *content_type);
int forward_on_bytes (void *user, const char *bytes, size_t n);
void forward_on_done (void *user, const struct httpc_result *result);

/* forward_log.c */
void forward_log_waiting (struct forward *forward, struct timespec ready_at);
void forward_log_sent (struct forward *forward);
void forward_log_done (struct forward *forward, long status);
void forward_log_refused (struct forward *forward, unsigned status,
                          const char *why, int64_t retry_ms);
void forward_log_failed (struct forward *forward,
                         const struct httpc_result *result);
void forward_log_gone (struct forward *forward);

#endif
