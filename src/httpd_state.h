/* httpd_state - state of a server and of a request.  Private to httpd and the
   modules whose names begin with httpd_.  */

#ifndef PARSLEYRILL_HTTPD_STATE_H
#define PARSLEYRILL_HTTPD_STATE_H

#include <microhttpd.h>
#include <glib.h>
#include "httpd.h"
#include "membudget.h"

enum stage
{
  STAGE_HEAD,       /* the request line was received */
  STAGE_BODY,       /* the body is being received */
  STAGE_DISPATCHED, /* passed to the user, connection suspended */
  STAGE_RESPONDED,  /* a response is queued in libmicrohttpd */
};

struct httpd_request
{
  CK_LIST_ENTRY (httpd_request) link;
  struct httpd *httpd;
  struct MHD_Connection *connection;
  struct httpd_conn *conn;
  struct loop_watch disconnect; /* libmicrohttpd does not poll suspended
                                   connections */
  char *method;
  char *path;
  char *uri;
  GString *body;
  void *user;
  struct MHD_Response *response;
  unsigned status;
  GString *out; /* stream bytes that libmicrohttpd has not read */
  size_t out_offset;
  enum stage stage;
  bool suspended; /* libmicrohttpd does not process the connection */
  bool streaming;
  bool has_chunks; /* HTTP/1.1 or later */
  bool chunked;    /* the body of the request came in chunks */
  bool closes;     /* the connection is not read after this request */
  bool ended;      /* the response ends with the bytes in OUT */
  bool truncated;  /* close after the bytes in OUT, without ending the body */
  bool aborted;    /* close at once */
  bool too_large;
  bool rejected;    /* by this module */
  bool unwanted;    /* the body is read and dropped */
  bool tiny_chunks; /* counted in tiny_uploads */
  unsigned pieces;  /* of the body, as libmicrohttpd passed it */
  size_t announced; /* bytes of the body, held from its beginning */
  size_t response_bytes;
  size_t discarded; /* bytes of a body that is too large or unwanted */
  unsigned stuck;   /* checks since bytes of the body were read */
  bool stalled;     /* a write returned -EAGAIN */
};

CK_LIST_HEAD (request_list, httpd_request);
TAILQ_HEAD (conn_list, httpd_conn);

struct httpd
{
  struct httpd_options options;
  struct request_list requests;
  struct conn_list conns;
  struct membudget_group group;
  struct loop_timer check_timer;
  unsigned tiny_uploads; /* bodies in very small chunks */
  struct MHD_Daemon *daemon;
  struct loop_watch watch;
  struct loop_prepare prepare;
  unsigned open_requests;
  unsigned connections;
  uint16_t port;
  bool run_pending; /* call MHD_run before the loop sleeps */
  struct timespec stuck_checked_at;
};

struct httpd_conn *httpd_conn_of (struct MHD_Connection *connection);
void httpd_suspend (struct httpd_request *request);
void httpd_resume (struct httpd_request *request);
/* Passes the request to the request callback.  */
enum MHD_Result httpd_dispatch (struct httpd_request *request);
void httpd_send_response (struct httpd_request *request,
                          struct MHD_Response *response, unsigned status,
                          const char *content_type,
                          const char *const *headers);
/* Counts in the budget what is held for REQUEST.  */
bool httpd_hold (struct httpd_request *request);

#endif
