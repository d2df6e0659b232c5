/* call_state - state of one request, shared by the modules call, call_route,
   call_answer and call_notify.  Private to them.

   The state advances from STATE_NEW through STATE_AWAITING_VERDICT,
   STATE_WAITING, STATE_SENT and STATE_ANSWERING to STATE_DONE; a retry
   returns to STATE_WAITING or STATE_SENT.  */

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

#define CALL_RETRY_AFTER_S 1u /* default Retry-After */
#define CALL_ID_MAX 160       /* bytes of an attempt id */

enum call_state
{
  STATE_NEW,
  STATE_AWAITING_VERDICT, /* of the control thread */
  STATE_WAITING,
  STATE_SENT,      /* an attempt is in progress */
  STATE_ANSWERING, /* passing a stream to the caller */
  STATE_DONE
};

struct call
{
  struct admit_entry entry;
  struct worker *worker;
  struct httpd_request *request; /* NULL once the caller is gone */
  struct api_request api;
  uint64_t id;
  enum call_state state;
  unsigned priority;
  bool non_idempotent;   /* must not be repeated */
  bool owns_record;      /* holds the claim on its idempotency record */
  bool owns_suspect_run; /* holds the permission to run with a strike */
  bool cold;             /* waited for a model to load */
  bool head_sent;        /* the response head was sent to the caller */
  struct timespec arrived;
  struct timespec deadline;
  struct timespec claim_until; /* the record's claim expires */
  struct loop_timer deadline_timer;
  struct loop_timer retry_timer; /* delay before a retry */
  struct attempt attempts[ATTEMPT_MAX];
  size_t count;                   /* without refused and unsent attempts */
  unsigned dispatches;            /* all attempts, refused ones too */
  const char *tried[ATTEMPT_MAX]; /* ids, owned by ENGINES */
  struct route_engine *engines[ATTEMPT_MAX];
  size_t tried_count;
  struct exchange *exchange;
  struct route_engine *engine;         /* of the latest attempt */
  struct pick_explanation explanation; /* of the latest choice of a replica */
  uint64_t prefix;
  uint64_t events; /* passed on by earlier attempts of a stream */
  char *version;   /* of the model at ENGINE; only it may continue a stream */
  GString *recorded_stream; /* response body to be recorded */
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

/* Answers with an error of this node and ends the call.  */
void call_refuse (struct call *call, unsigned status, const char *type,
                  const char *why, unsigned retry_after_s);
/* Ends the call.  Its answer may still be on its way to the caller.  */
void call_finish (struct call *call);

/* call_route.c */

/* Whether another engine than the current one can take the call now.  */
bool call_other_ready (struct call *call);
/* Longest silence within a response, milliseconds; 0: no limit.  */
int64_t call_idle_timeout (const struct call *call);
/* Dispatches the call to a backend server, queues it, or refuses it.  */
void call_route (struct call *call);

/* call_answer.c */
extern const struct exchange_ops call_exchange_ops;
void call_cancel_attempt (struct call *call);

/* call_notify.c */
void call_notify (struct call *call, struct msg *msg);
/* Asks the control thread for a verdict.  Refuses the call if its queue is
   full.  */
void call_request_verdict (struct call *call, enum msg_type type);
void call_notify_succeeded (struct call *call,
                            const struct exchange_result *result);
void call_notify_failed (struct call *call,
                         const struct exchange_result *result);
/* RESULT is NULL when there is no complete response.  */
void call_notify_ends (struct call *call,
                       const struct exchange_result *result);
void call_log_waiting (struct call *call, bool ready);
void call_log_routed (struct call *call, const char *attempt);
void call_log_done (struct call *call, const struct exchange_result *result);
void call_log_refused (const struct call *call,
                       const struct reply_error *error);

#endif
