/* attempt - one dispatch of a request to one backend server.

   A state machine without I/O.  It answers the two questions on which every
   promise to a caller rests: is "not run" true, and may the request be sent
   again.

   Use by a traffic thread:

     attempt_begin (&request->attempts[request->count++], id);
     ... httpc_start; in the done callback:
     attempt_finish (attempt, result, attempt_refusal (result));
     if (attempt_may_retry (request->attempts, request->count,
                            idempotent, bytes_to_caller) && retry_withdraw
   (...))
       ... pick another replica
     else
       ... answer, with not_run = attempt_not_run (attempts, count)

   No ownership, no allocation, any thread.  */

#ifndef PARSLEYRILL_ATTEMPT_H
#define PARSLEYRILL_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "httpc.h"

#define ATTEMPT_MAX 4 /* dispatches of one request, the first included */

enum attempt_state
{
  ATTEMPT_NOT_SENT,   /* made, nothing handed to a connection */
  ATTEMPT_CONNECTING, /* the connection is being made */
  ATTEMPT_SENDING,    /* some bytes may have reached the server */
  ATTEMPT_SENT,       /* all bytes handed to the connection */
  ATTEMPT_ANSWERING,  /* a status line came back */
  /* final states */
  ATTEMPT_WHOLE,     /* the answer came to its own end */
  ATTEMPT_REFUSED,   /* the backend server said, whole, that it did not run */
  ATTEMPT_CUT,       /* the answer began and broke off */
  ATTEMPT_TIMED_OUT, /* no byte, or no end, within the time allowed */
  ATTEMPT_RESET,     /* the connection failed before an answer began */
  ATTEMPT_CANCELLED  /* ended by this node */
};

enum attempt_event
{
  ATTEMPT_EV_CONNECT, /* the connection is being made */
  ATTEMPT_EV_SEND,    /* a byte of the request may have been sent */
  ATTEMPT_EV_SENT,    /* the last byte was sent */
  ATTEMPT_EV_HEAD,    /* a status line came */
  ATTEMPT_EV_END,     /* the answer is whole */
  ATTEMPT_EV_REFUSAL, /* the answer is whole and says "not run" */
  ATTEMPT_EV_RESET,
  ATTEMPT_EV_TIMEOUT,
  ATTEMPT_EV_CANCEL
};

struct attempt
{
  uint64_t id;
  enum attempt_state state;
  enum httpc_phase reached; /* furthest phase; only grows */
};

void attempt_begin (struct attempt *attempt, uint64_t id);

/* Takes EVENT in.  What cannot follow is ignored: nothing follows a final
   state, and a phase never goes back.  */
void attempt_event (struct attempt *attempt, enum attempt_event event);

/* The end of an httpc call.  REFUSAL is attempt_refusal of the same
   result.  */
void attempt_finish (struct attempt *attempt,
                     const struct httpc_result *result, bool refusal);

/* Before httpc_cancel, with httpc_phase of the call.  */
void attempt_cancel (struct attempt *attempt, enum httpc_phase phase);

/* Whether RESULT is a whole answer by which the backend server itself says
   that it refused before running: status 404, 429 or 503 and
   {"error":{"not_run":true}} in a JSON body.  */
bool attempt_refusal (const struct httpc_result *result);

/* The one place that decides whether "not run" is true of a request: it
   holds when each of its COUNT attempts ended with no byte handed to a
   connection or was refused by the backend server before running.  An
   attempt under way counts as run.  True when COUNT is 0.  */
bool attempt_not_run (const struct attempt *attempts, size_t count);

/* Whether the request may be dispatched once more: all attempts are over, a
   further one is allowed by ATTEMPT_MAX, none came to a whole answer, no byte
   went to the caller, and
   the request is idempotent or did not run.  The budget is retry.h's.  */
bool attempt_may_retry (const struct attempt *attempts, size_t count,
                        bool idempotent, bool bytes_to_caller);

bool attempt_over (const struct attempt *attempt);
const char *attempt_state_name (enum attempt_state state);

#endif
