/* forward - the life of one routed request, from its head to its end.

   A request is matched to a route, waits until a backend server can take it,
   is sent there, perhaps to another one after a failure, and its answer is
   passed on.  Its deadline timer runs from arrival to the end.

   A forward frees itself when the caller's request is gone and no sending of
   it is under way.  One thread.  */

#ifndef PARSLEYRILL_FORWARD_H
#define PARSLEYRILL_FORWARD_H

#include "gateway_state.h"

struct forward;

/* Takes over REQUEST.  */
void forward_start (struct gateway *gateway, struct httpd_request *request);

/* The caller's request is gone.  */
void forward_gone (struct forward *forward);

/* The caller can take more of the answer.  */
void forward_writable (struct forward *forward);

/* Lets those that wait go where there is room now.  */
void forward_pump (struct gateway *gateway);

#endif
