/* brittle - keeps servers from having to reject many requests.

   A brittle server falls over when it rejects more requests a second than it
   names, over all nodes.  How many wait there, and when its queue is full, no
   node knows.  So each node has at most its part of the server's slots in
   flight there, and after a rejection sends nothing for so long that all nodes
   together stay below the named rate.  Servers of a service are brittle
   together: one that has not said yet is what the last one said.

   No I/O; one thread.  Server ids are copied.  */

#ifndef PARSLEYRILL_BRITTLE_H
#define PARSLEYRILL_BRITTLE_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define BRITTLE_RATE_SHARE 0.5 /* of the named rate that is used */
#define BRITTLE_PAUSE_MAX_MS 10000

struct brittle;

/* A server, as this node sees it.  */
struct brittle_server
{
  const char *id;
  const char *service;
  unsigned slots;
  unsigned in_flight; /* requests of this node */
};

struct brittle *brittle_new (void);
void brittle_free (struct brittle *brittle); /* may be NULL */

/* SERVER said that it bears PER_S rejections a second; 0: it is not brittle;
   negative: not known.  REJECTED: in such a rejection.  NODES: number of nodes
   that send requests.  */
void brittle_heard (struct brittle *brittle,
                    const struct brittle_server *server, double per_s,
                    bool rejected, size_t nodes, struct timespec now);

/* Whether a request may be sent to SERVER.  */
bool brittle_may_send (const struct brittle *brittle,
                       const struct brittle_server *server, size_t nodes,
                       struct timespec now);

void brittle_forget (struct brittle *brittle, const char *server);

#endif
