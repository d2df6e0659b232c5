/* stall - decides what becomes of an attempt whose backend server has sent
   nothing for longer than usual.

   Silence does not prove a failure: a server may pause and go on.  So an
   attempt in progress is given up only for one that takes its place at
   once.  Without one it goes on until the server sends again, the
   connection fails, the deadline passes or the caller leaves.

   Owns nothing and allocates nothing; may be used by any thread.  */

#ifndef PARSLEYRILL_STALL_H
#define PARSLEYRILL_STALL_H

#include <stdbool.h>

struct stall
{
  bool may_retry;          /* the request may be attempted once more */
  bool other_ready;        /* another server can take it now */
  bool connection_suspect; /* perhaps only the connection is dead: it was
                              reused and carried nothing yet, or the server
                              sends on other connections */
};

enum stall_action
{
  STALL_WAIT,     /* the attempt goes on */
  STALL_MOVE,     /* to the other server */
  STALL_RECONNECT /* to the same server, on a new connection */
};

enum stall_action stall_decide (const struct stall *stall);
const char *stall_action_name (enum stall_action action);

#endif
