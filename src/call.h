/* call - handles one request of a caller, in a traffic thread (traffic.h),
   from its head to its end.

   If the request has an idempotency key and must not be repeated, the call
   first asks the control thread for a verdict on the record of the key.  It
   then waits for a replica, is dispatched to a backend server, and passes the
   response on.  The deadline timer runs from arrival until the response
   begins; after that an idle timeout on the backend server applies.

   A call frees itself once the caller's request is gone and no attempt is
   in progress.  All functions run on the worker's thread.  */

#ifndef PARSLEYRILL_CALL_H
#define PARSLEYRILL_CALL_H

#include <stdbool.h>
#include "api.h"
#include "httpd.h"
#include "worker.h"

struct call;

/* Takes ownership of REQUEST and of API, the parsed request.  */
void call_start (struct worker *worker, struct httpd_request *request,
                 struct api_request *api);

/* The caller's request is gone.  */
void call_caller_gone (struct call *call);

/* The caller can accept more of the response.  */
void call_writable (struct call *call);

/* Response of the control thread to MSG_RECORD_BEGIN or MSG_SUSPECT_BEGIN.  */
void call_verdict (struct call *call, const struct msg *msg);

/* A verdict that permits a run arrived after the request had ended: tells
   the control thread that the request did not run.  */
void call_return_grant (struct worker *worker, const struct msg *msg);

/* Dispatches waiting requests to replicas that have room.  */
void call_dispatch_waiting (struct worker *worker);

#endif
