/* httpd_head - checks that the head and the trailers of a request can be read
   in only one way.

   Two readers of a connection that disagree on where a request ends take its
   body for the next request, or its headers for a body (request smuggling).
   libmicrohttpd repairs or ignores much that RFC 9112 says to reject; what it
   accepts is checked here before anything else looks at the request.

   libmicrohttpd 0.9 splits the head in place, so that the distance between the
   strings that it returns tells which bytes were between them.  A line that
   ends with a line feed alone, a folded line and a NUL byte are recognized by
   that.  It does not return the bytes between chunks: a connection is closed
   after a request with a chunked body, see httpd.c.

   Pure functions of what libmicrohttpd returns; the loop's thread only.  */

#ifndef PARSLEYRILL_HTTPD_HEAD_H
#define PARSLEYRILL_HTTPD_HEAD_H

#include <stddef.h>
#include <microhttpd.h>

/* The request line.  METHOD, PATH and VERSION are the pointers that
   libmicrohttpd passed to the access handler.  */
struct httpd_head_line
{
  const char *method;
  const char *path;
  const char *target; /* a copy of path and query as they were sent */
  const char *version;
};

/* Returns NULL, or a string constant that says why the request is to be
   rejected.  Called when the head has been received.  */
const char *httpd_head_fault (struct MHD_Connection *connection,
                              const struct httpd_head_line *line);

/* Bytes before the path of TARGET: the scheme and the host of the absolute
   form (RFC 9112, section 3.2.2).  0: it has another form.  */
size_t httpd_head_prefix (const char *target);

/* Like httpd_head_fault, for the trailers, once the body is complete.  */
const char *httpd_head_trailer_fault (struct MHD_Connection *connection);

#endif
