/* httpd_reject - responses to requests that the server does not pass on, and
   the end of their connections.  Private to httpd.  The loop's thread only. */

#ifndef PARSLEYRILL_HTTPD_REJECT_H
#define PARSLEYRILL_HTTPD_REJECT_H

#include <microhttpd.h>
#include "httpd.h"

/* Calls the rejected callback.  FAULT: see there.  */
void httpd_report_rejection (const struct httpd *httpd, enum httpd_reject why,
                             const char *fault);

/* All queue a response and report the rejection.  Nothing that follows the
   request on its connection is read.  FAULT is a string constant.  */
enum MHD_Result httpd_reject_large_body (struct httpd_request *request);
/* 503: there is no memory or descriptor for it; it has not run.  */
enum MHD_Result httpd_reject_busy (struct httpd_request *request);
enum MHD_Result httpd_reject_malformed (struct httpd_request *request,
                                        const char *fault);

/* Writes a response to the socket FD, if it takes one, and reads what has
   come.  Nothing else may be sent there.  */
void httpd_send_refusal (int fd, enum httpd_reject why);

/* Reports a request that libmicrohttpd has answered by itself, if it has.  */
void httpd_report_unparsed (const struct httpd_request *request);

/* Reads what has come since, before the connection is closed.  */
void httpd_discard_unread (const struct httpd_request *request);

#endif
