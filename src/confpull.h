/* confpull - decides when to request a newer configuration, and from which
   peer.

   Peers announce the version that they have.  The last peer to announce one
   newer than this node's is asked, repeatedly until the highest announced
   version is applied: a request or its response may be lost with a link, and
   the peer that announced a version may be gone.

   No I/O; one thread.  */

#ifndef PARSLEYRILL_CONFPULL_H
#define PARSLEYRILL_CONFPULL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define CONFPULL_INTERVAL_MS 500 /* between two requests */

struct confpull
{
  char *announced_by; /* last to announce a newer version; owned; NULL: none */
  uint64_t announced_version; /* highest announced */
  struct timespec next_at;    /* earliest time of the next request */
};

/* Frees what PULL owns and zeroes it; all zero is the initial state.  */
void confpull_clear (struct confpull *pull);

/* NODE announced VERSION; this node has OWN.  True if VERSION is newer than
   OWN and a request may be sent now: VERSION is the highest announced so far,
   or the time set by confpull_delay has passed.  */
bool confpull_offered (struct confpull *pull, const char *node,
                       uint64_t version, uint64_t own, struct timespec now);

/* The peer to ask now, borrowed until the next call; NULL if none.  */
const char *confpull_due (const struct confpull *pull, uint64_t own,
                          struct timespec now);

/* Allows no further request before AT.  */
void confpull_delay (struct confpull *pull, struct timespec at);

/* Sets *AT to the time of the next request; false if none is needed.  */
bool confpull_next_due (const struct confpull *pull, uint64_t own,
                        struct timespec *at);

#endif
