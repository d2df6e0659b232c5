/* servers - table of the backend servers that requests may go to, and of the
   models and adapters on those that are engines.

   Merges four sources: the platform's list (servers_put), the replicas
   published by the decider, the node that holds the lease on the engines
   (servers_replicas_add), the responses of the servers themselves
   (servers_report_load, servers_report_missing, servers_report_notice), and
   those to other nodes
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
#include "backend.h"
#include "frame.h"
#include "inventory.h"
#include "pace.h"
#include "route.h"

/* Lifetime of published replicas: six times the interval at which the decider
   repeats them.  */
#define SERVERS_REPLICAS_TTL_MS 3000
/* How long requests for a target avoid a server that refused one because the
   target was not loaded: longer than an adapter takes to load.  */
#define SERVERS_MISSING_TTL_MS 500

/* How long a load that this node observed takes precedence over others.  */
#define SERVERS_OWN_LOAD_MS 250

/* Longest pause of a server.  A request for a longer one is taken for this
   one, so that a malformed value does not exclude the server for good.  */
#define SERVERS_PAUSE_MAX_MS 600000

/* How long a removed server, and what it said of itself, is remembered: longer
   than an older list of the platform may go back.  */
#define SERVERS_REMOVED_TTL_MS 60000

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
  int64_t born;                /* start, Unix milliseconds; 0: unknown */
  struct inventory *inventory; /* NULL for a plain service */
};

void server_entry_clear (struct server_entry *entry);

struct server
{
  struct route_engine *route; /* id, address and zone; the service as pool */
  unsigned slots;
  bool leaving;
  bool said_leaving;       /* by itself: holds although its entry differs */
  int64_t born;            /* 0: unknown */
  struct timespec drop_at; /* removal time; zero: still listed */
  struct inventory *inventory; /* NULL for a plain service */
  unsigned running;            /* last reported, requests of all nodes */
  unsigned queued;
  unsigned inflight_at_load; /* this node's requests, when that was reported */
  struct timespec load_at;   /* time of that report */
  struct pace pace;          /* of its machine */
  bool pace_told;            /* to this node, since servers_take_loads */
  /* Observed by it since then, see pace_compare; 0: none.  */
  double first_ratio;
  double event_ratio;
  struct timespec observed_at;  /* last load in a response to this node */
  bool load_observed;           /* by this node, since servers_take_loads */
  bool load_applied;            /* the same by other nodes */
  struct timespec paused_until; /* it wants nothing before; zero: no pause */
  GHashTable *missing;          /* target name to struct timespec: expiry */
};

struct servers;

struct servers *servers_new (void);
void servers_free (struct servers *servers);

/* Adds or updates a server.  Returns true if requests may now be routed
   differently.  A server that itself said it leaves keeps leaving until it has
   restarted, or is removed for SERVERS_REMOVED_TTL_MS.  */
bool servers_put (struct servers *servers, const struct server_entry *entry);

/* The platform no longer lists ID; it is removed at AT, or at the earlier time
   of another call, unless it is listed again before.  */
void servers_drop (struct servers *servers, const char *id,
                   struct timespec at);

/* Removes the servers whose removal time has passed; true if there were
   any.  */
bool servers_expire (struct servers *servers, struct timespec now);

/* The platform's list goes back to an older one.  Servers that leave keep
   leaving until they are removed or have restarted.  */
void servers_list_restored (struct servers *servers);

/* Whether ENTRY, from such an older list, is outdated: the server was removed
   within SERVERS_REMOVED_TTL_MS, or has restarted since.  */
bool servers_is_outdated (const struct servers *servers,
                          const struct server_entry *entry);

/* NULL when there is none.  */
struct server *servers_find (const struct servers *servers, const char *id);

/* All servers: id to struct server.  Borrowed.  */
GHashTable *servers_all (const struct servers *servers);

/* A response of server ID reported this load.  */
void servers_report_load (struct servers *servers, const char *id,
                          unsigned running, unsigned queued,
                          struct timespec now);

/* A response of server ID told that work takes PACE times as long as usual;
   0: it did not tell.  */
void servers_report_pace (struct servers *servers, const char *id, double pace,
                          struct timespec now);

/* The first event of a request of this node to server ID took RATIO times as
   long as estimated from what the server tells, or the time between events,
   see pace_compare; 0: not known.  */
void servers_observe_first (struct servers *servers, const char *id,
                            double ratio, struct timespec now);
void servers_observe_events (struct servers *servers, const char *id,
                             double ratio, struct timespec now);

/* Another node tells the pace in LOAD: what it has heard itself, or
   FROM_DECIDER what that has heard from all.  Ignored where it is not set, as
   by older nodes.  */
void servers_apply_pace (struct servers *servers, const struct peer_load *load,
                         bool from_decider, struct timespec now);

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

/* A response of server ID to this node said this.  Returns true if requests
   may now be routed differently.  */
bool servers_report_notice (struct servers *servers, const char *id,
                            const struct backend_notice *notice,
                            struct timespec now);

/* Whether server ID wants nothing from this node now.  */
bool servers_is_paused (const struct servers *servers, const char *id,
                        struct timespec now);

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
   one, or the end of the first pause, zero if unknown.  */
void servers_replicas (struct servers *servers,
                       const struct servers_query *need, struct timespec now,
                       GArray *replicas, struct timespec *ready_at);

/* Whether a server of SERVICE with SOFTWARE, NULL: any version, gets new
   requests.  */
bool servers_has_software (const struct servers *servers, const char *service,
                           const char *software);

/* See versions_recall and versions_remembers.  */
void servers_recall_software (struct servers *servers, const char *service,
                              const char *software, struct timespec now);
bool servers_remembers_software (const struct servers *servers,
                                 const char *service, const char *software,
                                 struct timespec now);

/* See versions_sole.  */
const char *servers_sole_software (struct servers *servers,
                                   const char *service, struct timespec now);

/* "MODEL" or "MODEL/ADAPTER"; the caller frees with g_free.  */
char *servers_target (const char *model, const char *adapter);

#endif
