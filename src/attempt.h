/* attempt - one dispatch of a request to one backend server.

   A state machine without I/O.  It answers the two questions on which the
   guarantees to callers depend: may the request be reported as "not run", and
   may it be sent again.

   Use by a traffic thread:

     attempt_begin (&request->attempts[request->count++], id);
     ... httpc_start; in the done callback:
     attempt_finish (attempt, result, attempt_refusal (result));
     if (attempt_may_retry (request->attempts, request->count,
                            idempotent, bytes_to_caller)
         && retry_withdraw (...))
       ... pick another replica
     else
       ... answer, with not_run = attempt_not_run (attempts, count)

   Owns nothing and allocates nothing; may be used by any thread.  */

#ifndef PARSLEYRILL_ATTEMPT_H
#define PARSLEYRILL_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "httpc.h"

#define ATTEMPT_MAX 4 /* attempts of one request, including the first */

enum attempt_state
{
  ATTEMPT_NOT_SENT,   /* created; nothing handed to a connection */
  ATTEMPT_CONNECTING, /* connecting */
  ATTEMPT_SENDING,    /* some bytes may have reached the server */
  ATTEMPT_SENT,       /* all bytes handed to the connection */
  ATTEMPT_ANSWERING,  /* a status line was received */
  /* final states */
  ATTEMPT_COMPLETE, /* the response ended normally */
  ATTEMPT_REFUSED,  /* a complete response said that the request did not run */
  ATTEMPT_TRUNCATED, /* the response began but did not end */
  ATTEMPT_TIMED_OUT, /* no first byte, or no end, within the time limit */
  ATTEMPT_RESET,     /* the connection failed before a response began */
  ATTEMPT_CANCELLED  /* cancelled by this node */
};

enum attempt_event
{
  ATTEMPT_EV_CONNECT, /* connecting */
  ATTEMPT_EV_SEND,    /* a byte of the request may have been sent */
  ATTEMPT_EV_SENT,    /* the last byte was sent */
  ATTEMPT_EV_HEAD,    /* a status line was received */
  ATTEMPT_EV_END,     /* the response is complete */
  ATTEMPT_EV_REFUSAL, /* the response is complete and says "not run" */
  ATTEMPT_EV_RESET,
  ATTEMPT_EV_TIMEOUT,
  ATTEMPT_EV_CANCEL
};

struct attempt
{
  uint64_t id;
  enum attempt_state state;
  enum httpc_phase furthest_phase; /* never decreases */
};

void attempt_begin (struct attempt *attempt, uint64_t id);

/* Applies EVENT.  Events that cannot follow the current state are ignored:
   final states do not change and a phase never decreases.  */
void attempt_event (struct attempt *attempt, enum attempt_event event);

/* Records the end of an httpc call.  REFUSAL is attempt_refusal of the
   same result.  */
void attempt_finish (struct attempt *attempt,
                     const struct httpc_result *result, bool refusal);

/* Call before httpc_cancel, with the httpc_phase of the call.  */
void attempt_cancel (struct attempt *attempt, enum httpc_phase phase);

/* Whether a response with STATUS may be one for which attempt_refusal is
   true.  */
bool attempt_may_be_refusal (long status);

/* Whether RESULT is a complete response in which the backend server says
   that it refused the request before running it: status 404, 429 or 503
   with {"error":{"not_run":true}} in a JSON body.  */
bool attempt_refusal (const struct httpc_result *result);

/* The only place that decides whether a request may be reported as "not
   run".  True when each of its COUNT attempts either ended before any byte
   was handed to a connection or was refused by the backend server before
   running.  An attempt in progress counts as run.  True when COUNT is 0.  */
bool attempt_not_run (const struct attempt *attempts, size_t count);

/* Whether the request may be dispatched again: all attempts are final,
   fewer than ATTEMPT_MAX were made, none received a complete response, no
   byte went to the caller, and the request is idempotent or did not run.
   Does not check the retry budget (retry.h).  */
bool attempt_may_retry (const struct attempt *attempts, size_t count,
                        bool idempotent, bool bytes_to_caller);

bool attempt_is_final (const struct attempt *attempt);
const char *attempt_state_name (enum attempt_state state);

#endif
