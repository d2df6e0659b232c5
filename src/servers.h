/* servers - table of the backend servers that requests may go to, and of the
   models and adapters on those that are engines.

   Merges four sources: the platform's list (servers_put), the replicas
   published by the decider, the node that holds the lease on the engines
   (servers_replicas_add), the responses of the servers themselves
   (servers_report_load, servers_report_missing), and those to other nodes
   (servers_apply_load).  Published replicas take
   precedence while they are fresh, because the platform's list lags, and
   otherwise apply to engines whose contents are not listed.

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

/* Lifetime of published replicas: six times the interval at which the decider
   repeats them.  */
#define SERVERS_REPLICAS_TTL_MS 3000
/* How long requests for a target avoid a server that refused one because the
   target was not loaded: longer than an adapter takes to load.  */
#define SERVERS_MISSING_TTL_MS 500

/* How long a load that this node observed takes precedence over others.  */
#define SERVERS_OWN_LOAD_MS 250

/* A server as the platform lists it.  */
struct server_entry
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *service;
  char *software; /* version of its software; NULL: unknown */
  unsigned slots;
  bool leaving;                /* gets no new requests */
  struct inventory *inventory; /* NULL for a plain service */
};

void server_entry_clear (struct server_entry *entry);

struct server
{
  struct route_engine *route; /* id, address and zone; the service as pool */
  unsigned slots;
  bool leaving;
  struct timespec drop_at;     /* removal time; zero: still listed */
  struct inventory *inventory; /* NULL for a plain service */
  unsigned running;            /* last reported, requests of all nodes */
  unsigned queued;
  unsigned inflight_at_load; /* this node's requests, when that was reported */
  struct timespec load_at;   /* time of that report */
  struct timespec observed_at; /* last load in a response to this node */
  bool load_observed;          /* by this node, since servers_take_loads */
  bool load_applied;           /* the same by other nodes */
  GHashTable *missing;         /* target name to struct timespec: expiry */
};

struct servers;

struct servers *servers_new (void);
void servers_free (struct servers *servers);

/* Adds or updates a server.  Returns true if requests may now be routed
   differently.  */
bool servers_put (struct servers *servers, const struct server_entry *entry);

/* The platform no longer lists ID; it is removed at AT unless it is listed
   again before.  */
void servers_drop (struct servers *servers, const char *id,
                   struct timespec at);

/* Removes the servers whose removal time has passed; true if there were
   any.  */
bool servers_expire (struct servers *servers, struct timespec now);

/* NULL when there is none.  */
struct server *servers_find (const struct servers *servers, const char *id);

/* All servers: id to struct server.  Borrowed.  */
GHashTable *servers_all (const struct servers *servers);

/* A response of server ID reported this load.  */
void servers_report_load (struct servers *servers, const char *id,
                          unsigned running, unsigned queued,
                          struct timespec now);

/* Another node observed this load.  Ignored if this node has observed one
   itself within SERVERS_OWN_LOAD_MS.  */
void servers_apply_load (struct servers *servers, const char *id,
                         unsigned running, unsigned queued,
                         struct timespec now);

/* Appends a struct peer_load for each server whose load this node has observed
   since the last call, and with FORWARDED also for those that
   servers_apply_load has set.  Strings are borrowed until the server is
   removed.  */
void servers_take_loads (struct servers *servers, bool forwarded,
                         GArray *loads);

/* Server ID refused a request because TARGET is not loaded there.  */
void servers_report_missing (struct servers *servers, const char *id,
                             const char *target, struct timespec now);

/* Engine name in a published replica that no engine is loading yet.  */
#define SERVERS_NO_ENGINE "-"

/* Model name in a published replica that stands for the server itself.  */
#define SERVERS_WHOLE_SERVER "*"

/* Replaces the replicas published by the decider: call servers_replicas_begin,
   then servers_replicas_add for each.  AT is the time of publication.  */
void servers_replicas_begin (struct servers *servers, struct timespec at);
void servers_replicas_add (struct servers *servers,
                           const struct peer_replica *replica);

/* Changes the published replicas: call servers_replicas_update, then
   servers_replicas_add or servers_replicas_remove for each that changed.  */
void servers_replicas_update (struct servers *servers, struct timespec at);
void servers_replicas_remove (struct servers *servers,
                              const struct peer_replica *replica);

/* Whether no published replica was discarded since servers_replicas_begin.
   Otherwise all must be replaced, since changes omit the discarded ones: those
   of a server that the platform lists as restarted.  */
bool servers_replicas_complete (const struct servers *servers);

/* What a request needs of a server.  */
struct servers_query
{
  const char *service;
  const char *model;    /* NULL: any request of SERVICE */
  const char *adapter;  /* may be NULL */
  const char *software; /* only servers with this version; NULL: any */
};

/* Appends the replicas that may serve NEED to REPLICAS, whose engines are
   borrowed.  If there is none, *READY_AT is the estimated time of the first
   one, zero if unknown.  */
void servers_replicas (struct servers *servers,
                       const struct servers_query *need, struct timespec now,
                       GArray *replicas, struct timespec *ready_at);

/* Whether a server of SERVICE with SOFTWARE, NULL: any version, gets new
   requests.  */
bool servers_has_software (const struct servers *servers, const char *service,
                           const char *software);

/* See versions_sole.  */
const char *servers_sole_software (struct servers *servers,
                                   const char *service, struct timespec now);

/* "MODEL" or "MODEL/ADAPTER"; the caller frees with g_free.  */
char *servers_target (const char *model, const char *adapter);

#endif
