/* call_state - what the modules call, call_route, call_answer and call_tell
   share of one request.  Private to them.

   The state goes from STATE_NEW over STATE_ASKING, STATE_WAITING, STATE_SENT
   and STATE_ANSWERING to STATE_OVER; a retry goes back to STATE_WAITING or
   STATE_SENT.  */

#ifndef PARSLEYRILL_CALL_STATE_H
#define PARSLEYRILL_CALL_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "admit.h"
#include "api.h"
#include "attempt.h"
#include "call.h"
#include "exchange.h"
#include "pick.h"
#include "reply.h"

#define CALL_RETRY_S 1u /* told where nothing better is known */
#define CALL_ID_MAX 160 /* bytes of an attempt id */

enum call_state
{
  STATE_NEW,
  STATE_ASKING, /* for a verdict of the control thread */
  STATE_WAITING,
  STATE_SENT,      /* an attempt is under way */
  STATE_ANSWERING, /* its stream is passed on */
  STATE_OVER
};

struct call
{
  struct admit_entry entry;
  struct worker *worker;
  struct httpd_request *request; /* NULL: gone */
  struct api_request api;
  uint64_t id;
  enum call_state state;
  unsigned priority;
  bool once;     /* may not be repeated */
  bool recorded; /* its record is ours */
  bool granted;  /* a run of a suspect is ours */
  bool cold;     /* it waited for a load */
  bool begun;    /* the head of the answer went to the caller */
  struct timespec arrived;
  struct timespec deadline;
  struct timespec claim_until; /* RECORDED is good for a dispatch */
  struct loop_timer timer;     /* deadline */
  struct loop_timer pause;     /* before a retry */
  struct attempt attempts[ATTEMPT_MAX];
  size_t count;                   /* of attempts */
  unsigned dispatches;            /* refused ones included */
  const char *tried[ATTEMPT_MAX]; /* ids, of the engines below */
  struct route_engine *engines[ATTEMPT_MAX];
  size_t tried_count;
  struct exchange *exchange;
  struct route_engine *engine; /* of the last attempt */
  struct pick_explanation why;
  uint64_t prefix;
  uint64_t events; /* of the stream, passed on by earlier attempts */
  GString *kept;   /* stream passed on, for the record */
};

static inline struct timespec
call_now (const struct call *call)
{
  return clk_now (call->worker->options->clk);
}

static inline bool
call_not_run (const struct call *call)
{
  return attempt_not_run (call->attempts, call->count);
}

/* call.c */

/* The final answer of the node itself.  */
void call_refuse (struct call *call, unsigned status, const char *type,
                  const char *why, unsigned retry_after_s);
/* The answer is given; what is left is its way to the caller.  */
void call_over (struct call *call);

/* call_route.c */

/* Sends the call to a backend server, lets it wait, or refuses it.  */
void call_seek (struct call *call);

/* call_answer.c */
extern const struct exchange_ops call_exchange_ops;
void call_cancel_attempt (struct call *call);

/* call_tell.c */
void call_tell (struct call *call, struct msg *msg);
/* Asks for a verdict; refuses the call when that is not possible.  */
void call_tell_ask (struct call *call, enum msg_type type);
void call_tell_served (struct call *call,
                       const struct exchange_result *result);
void call_tell_failed (struct call *call,
                       const struct exchange_result *result);
/* RESULT is NULL when there is no whole answer.  */
void call_tell_ends (struct call *call, const struct exchange_result *result);
void call_log_waiting (struct call *call, bool ready);
void call_log_routed (struct call *call, const char *attempt);
void call_log_done (struct call *call, const struct exchange_result *result);
void call_log_refused (const struct call *call,
                       const struct reply_error *error);

#endif
