/* httpd_body - receives the body of a request.  Private to httpd.

   The memory for a body and for its copy to a server is counted from the end
   of the head on, as far as its length is known, so that a body that has been
   begun is seldom given up.  A body that does not matter for the response is
   not kept: a short one is read and dropped, and the connection kept; with a
   longer one the response is sent at once and the connection closed.  The
   loop's thread only.  */

#ifndef PARSLEYRILL_HTTPD_BODY_H
#define PARSLEYRILL_HTTPD_BODY_H

#include <microhttpd.h>
#include "httpd.h"

/* The head is complete.  */
enum MHD_Result httpd_body_begin (struct httpd_request *request);
enum MHD_Result httpd_body_append (struct httpd_request *request,
                                   const char *data, size_t n);

#endif
