/* call - the life of one request of a caller, from its head to its end.

   A call waits for a replica, is judged by its record when it may not be
   repeated, is sent to a backend server, and passes the answer on.  Its
   deadline timer runs from arrival until the answer begins; after that the
   silence of the backend server ends it.

   A call frees itself when the caller's request is gone and no attempt of it
   is under way.  Worker's thread only.  */

#ifndef PARSLEYRILL_CALL_H
#define PARSLEYRILL_CALL_H

#include <stdbool.h>
#include "api.h"
#include "httpd.h"
#include "worker.h"

struct call;

/* Takes over REQUEST, whose head has been read into API, which passes to the
   call.  */
void call_start (struct worker *worker, struct httpd_request *request,
                 struct api_request *api);

/* The caller's request is gone.  */
void call_gone (struct call *call);

/* The caller can take more of the answer.  */
void call_writable (struct call *call);

/* Answer of the control thread to MSG_RECORD_BEGIN or MSG_SUSPECT_BEGIN.  */
void call_verdict (struct call *call, const struct msg *msg);

/* A verdict that lets a request run came after the request was over: tells
   the control thread that it did not run.  */
void call_give_back (struct worker *worker, const struct msg *msg);

/* Lets requests that wait go where there is room now.  */
void call_pump (struct worker *worker);

#endif
