/* cutoff - tells the servers of a service that only this node cannot reach
   from those that are down.

   A server is cut off from this node if connections to it fail here while
   other nodes hear from it.  The whole service is if that holds for several
   servers and none has sent this node anything since.  Where servers don't
   report their loads, by which other nodes tell that they hear from them, the
   failures of more servers are needed.

   Failures come from requests and from probes, which only open a connection.
   Probes are due of servers that fail, until they are reached; and of others
   that only other nodes hear, while requests are in flight and nothing comes
   back, or while some server is cut off.

   No I/O; one thread.  Server ids are copied.  */

#ifndef PARSLEYRILL_CUTOFF_H
#define PARSLEYRILL_CUTOFF_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

/* Silence of all servers, with a request in flight, before a probe, and before
   the next one if that found nothing.  */
#define CUTOFF_QUIET_MS 700
#define CUTOFF_QUIET_INTERVAL_MS 1500
/* Time for a probe's connection; a live server takes milliseconds.  */
#define CUTOFF_CONNECT_MS 300
/* Between probes of one server that is cut off, or of one that fails and may
   be down.  */
#define CUTOFF_CUT_INTERVAL_MS 500
#define CUTOFF_DOWN_INTERVAL_MS 2000
#define CUTOFF_PROBES 2 /* at a time; one while nothing has failed */
/* What another node heard may be this old when this node is told, and may be
   this node's own report that comes back.  */
#define CUTOFF_TOLD_DELAY_MS 500
/* A busy node may tell late, so it has to tell again after this time.  */
#define CUTOFF_TOLD_AGAIN_MS 300
/* A server of which no node has heard for so long may be down.  */
#define CUTOFF_TOLD_TTL_MS 3000
#define CUTOFF_SERVERS                                                        \
  2 /* of a service that is cut off, if it has as many                        \
     */
/* The same where no other node tells of any server.  */
#define CUTOFF_SERVERS_UNTOLD 3

struct cutoff;

/* Told to other services of the kernel when cutoff_all changes.  */
struct cutoff_change
{
  const char *service;
  bool cut_off;
};

struct cutoff *cutoff_new (void);
void cutoff_free (struct cutoff *cutoff); /* may be NULL */

/* A request to a server begins, or ends.  */
void cutoff_begin (struct cutoff *cutoff, struct timespec now);
void cutoff_end (struct cutoff *cutoff);

/* Server ID sent bytes, or accepted a connection.  */
void cutoff_heard (struct cutoff *cutoff, const char *id, struct timespec now);
/* No connection to server ID could be established by an attempt that began at
   BEGAN_AT.  */
void cutoff_failed (struct cutoff *cutoff, const char *id,
                    struct timespec began_at);
/* Another node says that it heard from server ID.  */
void cutoff_told (struct cutoff *cutoff, const char *id, struct timespec now);
/* Server ID is not listed any more.  */
void cutoff_forget (struct cutoff *cutoff, const char *id);

bool cutoff_server (const struct cutoff *cutoff, const char *id,
                    struct timespec now);
bool cutoff_all (const struct cutoff *cutoff, struct timespec now);

/* Whether connections should be given up as early as those of probes.  */
bool cutoff_suspected (const struct cutoff *cutoff, struct timespec now);

/* Sets SERVERS, of CUTOFF_PROBES, to the ids to probe now, borrowed until
   the next call, and returns their number.  They count as probed.  */
size_t cutoff_probe (struct cutoff *cutoff, struct timespec now,
                     const char **servers);
/* Whether probes may become due without another event.  */
bool cutoff_watches (const struct cutoff *cutoff);

#endif
