/* httpd_conn - time limit for receiving a request on a connection.

   A client that sends a few bytes at a time never reaches the idle timeout;
   this limits the time from the start of the connection, or the end of the
   previous response, to the last byte of a request.  Private to httpd.  The
   loop's thread only.  */

#ifndef PARSLEYRILL_HTTPD_CONN_H
#define PARSLEYRILL_HTTPD_CONN_H

#include <stdint.h>
#include "loop.h"

struct httpd_conn;

/* FD is borrowed; it is shut down when the time limit expires.  */
struct httpd_conn *httpd_conn_new (struct loop *loop, int fd,
                                   int64_t request_timeout_ms);
void httpd_conn_free (struct httpd_conn *conn);

/* A request is complete; the time of its response is not limited here.  */
void httpd_conn_stop_timer (struct httpd_conn *conn);

/* The response is finished: the time limit of the next request starts.  */
void httpd_conn_start_timer (struct httpd_conn *conn);

#endif
