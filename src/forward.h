/* forward - handles one request of a caller, in the gateway (gateway.h), from
   its head to its end.

   A request is matched to a route, waits until a backend server has room for
   it, is dispatched there, is possibly retried at another server, and its
   response is passed on.  The deadline timer runs from arrival to the end of
   the response.

   A forward frees itself once the caller's request is gone and no attempt
   is in progress.  Single-threaded.  */

#ifndef PARSLEYRILL_FORWARD_H
#define PARSLEYRILL_FORWARD_H

#include "gateway_state.h"

struct forward;

/* Takes ownership of REQUEST.  */
/* Whether the response to REQUEST, whose head is complete, depends on its
   body.  */
bool forward_wants_body (struct gateway *gateway,
                         const struct httpd_request *request);

void forward_start (struct gateway *gateway, struct httpd_request *request);

/* Whether forward_start would refuse REQUEST for its API key.  That depends on
   the head alone, so that the body need not have been received.  */
bool forward_key_fault (struct gateway *gateway,
                        const struct httpd_request *request);

/* The caller's request is gone.  */
void forward_caller_gone (struct forward *forward);

/* The caller can accept more of the response.  */
void forward_writable (struct forward *forward);

/* Ends all requests that are open, each with a response unless one has
   begun.  */
void forward_end_all (struct gateway *gateway);

/* Sends on the requests that wait for a customer's quota and have got it.  */
void forward_check_quotas (struct gateway *gateway);

/* Dispatches waiting requests to servers that have room.  */
void forward_dispatch_waiting (struct gateway *gateway);

#endif
