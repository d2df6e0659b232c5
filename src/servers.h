/* servers - the backend servers that requests may go to, and what the engines
   among them hold.

   Three sources are put together: the platform's list (servers_put), what
   the decider of the engines tells (servers_replicas_add), and answers of the
   servers themselves (servers_report_load, servers_report_missing).  What the
   decider tells goes first while it is fresh, since the list lags.

   No I/O; one thread.  Ownership: entries are copied.  */

#ifndef PARSLEYRILL_SERVERS_H
#define PARSLEYRILL_SERVERS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "frame.h"
#include "inventory.h"
#include "route.h"

/* What the decider told is good for so long: six of its intervals.  */
#define SERVERS_REPLICAS_TTL_MS 3000
/* A target that a server lacked is not sought there again for so long: longer
   than an adapter's load.  */
#define SERVERS_MISSING_TTL_MS 500

/* A server as the platform lists it.  */
struct server_entry
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *service;
  unsigned slots;
  bool leaving;                /* gets no new work */
  struct inventory *inventory; /* NULL for a plain service */
};

void server_entry_clear (struct server_entry *entry);

struct server
{
  struct route_engine *route; /* id, address, zone, service as pool */
  unsigned slots;
  bool leaving;
  struct timespec drop_at;     /* not listed any more; zero: listed */
  struct inventory *inventory; /* NULL for a plain service */
  unsigned running;            /* as last heard, requests of all nodes */
  unsigned queued;
  unsigned own_when_heard;
  struct timespec heard_at;
  GHashTable *lacks; /* target name to struct timespec: until */
};

struct servers;

struct servers *servers_new (void);
void servers_free (struct servers *servers);

/* True when other requests than before can be sent.  */
bool servers_put (struct servers *servers, const struct server_entry *entry);

/* The platform lists ID no more; it goes at AT unless it is listed again.  */
void servers_drop (struct servers *servers, const char *id,
                   struct timespec at);

/* Takes out what was dropped; true when there was any.  */
bool servers_expire (struct servers *servers, struct timespec now);

/* NULL when there is none.  */
struct server *servers_find (const struct servers *servers, const char *id);

/* All of them: id to struct server.  Borrowed.  */
GHashTable *servers_all (const struct servers *servers);

/* What an answer of ID said of its load.  */
void servers_report_load (struct servers *servers, const char *id,
                          unsigned running, unsigned queued,
                          struct timespec now);

/* ID refused a request for TARGET because it does not hold it.  */
void servers_report_missing (struct servers *servers, const char *id,
                             const char *target, struct timespec now);

/* The engine of a replica that no engine loads yet.  */
#define SERVERS_NO_ENGINE "-"

/* The model of a replica that stands for the server itself.  */
#define SERVERS_WHOLE_SERVER "*"

/* The decider's view: begin, each replica, and it replaces the one before.
   AT is when it was told.  */
void servers_replicas_begin (struct servers *servers, struct timespec at);
void servers_replicas_add (struct servers *servers,
                           const struct peer_replica *replica);

/* Appends the replicas that may serve MODEL (NULL: any request of SERVICE)
   with ADAPTER (may be NULL) to REPLICAS, whose engines are borrowed.  When
   there is none, *READY_AT is when one is expected, zero when not known.  */
void servers_replicas (struct servers *servers, const char *service,
                       const char *model, const char *adapter,
                       struct timespec now, GArray *replicas,
                       struct timespec *ready_at);

/* "MODEL" or "MODEL/ADAPTER"; the caller frees with g_free.  */
char *servers_target (const char *model, const char *adapter);

#endif
