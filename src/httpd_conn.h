/* httpd_conn - a connection of a client: its time limits and its account.

   A client that sends a few bytes at a time never reaches the idle timeout of
   libmicrohttpd.  Here are limited: the time from the start of the connection,
   or the end of the previous response, to the last byte of a request; the time
   from the first byte of a head to its last; the time without a byte of a
   body; the time without a byte of a response being taken; and the time
   between requests.  Bytes are seen by the counters of the kernel, because
   libmicrohttpd does not report those of an incomplete head.

   Private to httpd.  The loop's thread only.  */

#ifndef PARSLEYRILL_HTTPD_CONN_H
#define PARSLEYRILL_HTTPD_CONN_H

#include <microhttpd.h>
#include "httpd.h"
#include "membudget.h"

struct httpd_conn
{
  struct membudget_account account; /* first: the close callback casts it */
  TAILQ_ENTRY (httpd_conn) link;
  struct loop_timer timer; /* of a request */
  struct httpd *httpd;
  struct httpd_request *request; /* NULL: none */
  int fd;
  uint64_t received;  /* bytes at the last check */
  uint64_t taken;     /* bytes when the account made progress last */
  uint64_t taken_now; /* bytes at the last check */
  size_t came;        /* bytes of a body since the account made progress */
  struct timespec byte_at; /* when a byte was received or taken last */
  bool in_head;            /* bytes of a head have come */
  bool ended;              /* a request has ended since the last check */
  struct timespec head_since;
};

struct httpd_conn *httpd_conn_new (struct httpd *httpd,
                                   struct MHD_Connection *connection);
void httpd_conn_free (struct httpd_conn *conn);

/* A request is complete; the time of its response is not limited here.  */
void httpd_conn_stop_timer (struct httpd_conn *conn);

/* The response is finished: the time limit of the next request starts.  */
void httpd_conn_start_timer (struct httpd_conn *conn);

void httpd_conn_set_state (struct httpd_conn *conn,
                           enum membudget_state state);
/* N bytes of a body have come.  */
void httpd_conn_received (struct httpd_conn *conn, size_t n);
void httpd_conn_head_ended (struct httpd_conn *conn);
/* The request is about to be freed.  */
void httpd_conn_request_ended (struct httpd_conn *conn);

/* Closes the connections whose time is over.  */
void httpd_conn_check_all (struct httpd *httpd, struct timespec now);

/* Refuses the request that is being received, with a response that bypasses
   libmicrohttpd, which sends none within a body.  Returns MHD_NO, which closes
   the connection.  */
enum MHD_Result httpd_conn_refuse (struct httpd_conn *conn,
                                   enum httpd_reject why);

#endif
