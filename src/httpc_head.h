/* httpc_head - checks that the head of a response can be read in only one way.

   libcurl repairs or ignores much that RFC 9112 says to reject: of a head that
   another reader would frame differently, the rest of the connection could be
   taken for the response to the next request.  The lines are those that
   libcurl passes to its header callback: status lines, headers and trailers,
   also of interim responses.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_HTTPC_HEAD_H
#define PARSLEYRILL_HTTPC_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/* What was seen of a response; all zero at first.  */
struct httpc_head
{
  unsigned lengths;
  unsigned codings;
  bool begun;   /* a status line was seen, and not the end of its head */
  bool interim; /* the status is 1xx: another head follows */
  bool ended;   /* the empty line after the final head was seen */
};

/* Whether the next line, of LENGTH bytes with its end, leaves the response
   unambiguous.  */
bool httpc_head_line (struct httpc_head *head, const char *line,
                      size_t length);

#endif
