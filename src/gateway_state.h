/* gateway_state - state shared by the modules gateway, forward and
   forward_*.  Private to them.  */

#ifndef PARSLEYRILL_GATEWAY_STATE_H
#define PARSLEYRILL_GATEWAY_STATE_H

#include <sys/queue.h>
#include <glib.h>
#include "brittle.h"
#include "caller.h"
#include "core.h"
#include "drain.h"
#include "eject.h"
#include "gateway.h"
#include "httpc.h"
#include "cutoff.h"
#include "kernel.h"
#include "links.h"
#include "listing.h"
#include "loop.h"
#include "origins.h"
#include "patience.h"
#include "pick.h"
#include "quarantines.h"
#include "quotas.h"
#include "reach.h"
#include "retry.h"
#include "returns.h"
#include "servers.h"
#include "planners.h"
#include "ratelimits.h"
#include "versionlog.h"

struct forward;
struct keyring;
struct fairshare;
struct usage;

TAILQ_HEAD (forward_list, forward);

/* What this node knows of the paths to a service's servers.  */
struct gateway_service
{
  char *name;
  struct cutoff *cutoff;
  bool cut_off; /* as last told to the other services of the kernel */
};

struct gateway
{
  struct service service; /* must be first */
  struct core *core;
  struct gateway_options options;
  struct listing *listing;
  struct ratelimits *ratelimits;
  struct quotas *quotas;
  struct planners *planners;
  struct links *links;
  struct origins *origins;
  struct versionlog *versionlog;
  struct quarantines *quarantines;
  struct membudget *budget; /* of clients and calls to servers */
  struct httpc *httpc;
  struct httpd *front;
  struct httpd *directory;
  struct httpd *ready;
  struct httpd *metrics;
  struct pick *pick;
  struct eject *eject;
  struct reach *reach;
  struct brittle *brittle;
  GHashTable *services; /* name to struct gateway_service */
  struct loop_timer probe_timer;
  GHashTable *patience;  /* route to struct patience */
  GHashTable *durations; /* route to struct duration */
  struct returns *returns;
  double event_tokens; /* of a stream's event, as observed; 0: unknown */
  GHashTable *peers; /* id to struct route_engine: nodes that take requests */
  struct retry *retry;
  struct forward_list waiting; /* most urgent first */
  struct forward_list waiting_for_quota;
  struct loop_timer quota_timer;
  GHashTable
      *waiting_for; /* "SERVICE TARGET\nSOFTWARE" -> number of requests */
  struct loop_timer dispatch_timer;
  struct loop_timer cleanup_timer;
  struct loop_timer retry_timer;
  bool retry_begins_empty;
  struct forward_list open_requests;
  unsigned open; /* of OPEN_REQUESTS */
  struct drain drain;
  /* Of the customers of KEYRING_SITE, see forward_customer.c.  */
  struct keyring *keyring;
  struct site *keyring_site; /* reference */
  uint64_t key_seed;
  struct usage *usage;
  struct fairshare *fairshare;
};

/* gateway_probe.c: whether servers are cut off from this node, see cutoff.h.
 */

void gateway_probe_start (struct gateway *gateway);
void gateway_probe_stop (struct gateway *gateway);
/* Probes may become due.  */
void gateway_probe_soon (struct gateway *gateway);
/* Created when first asked for; borrowed.  */
struct cutoff *gateway_cutoff (struct gateway *gateway, const char *name);
/* Tells the other services of the kernel whether service NAME is cut off, if
   that has changed.  */
void gateway_check_cutoff (struct gateway *gateway, const char *name);
/* Another node hears from server ID.  */
void gateway_server_heard (struct gateway *gateway, const char *id);
void gateway_server_removed (struct gateway *gateway, const char *id);

/* forward_customer.c */

/* Draws the seed of the keyring.  */
void gateway_keys_start (struct gateway *gateway);
/* Frees the keyring; another is made when it is needed.  */
void gateway_keys_stop (struct gateway *gateway);

/* How long callers of route NAME wait; created when first asked for;
   borrowed.  */
struct patience *gateway_patience (struct gateway *gateway, const char *name);
/* The same: how long its requests take.  */
struct duration *gateway_duration (struct gateway *gateway, const char *name);

/* Schedules a dispatch round for waiting requests: in the next iteration
   of the event loop, or after the usual interval.  */
void gateway_dispatch_soon (struct gateway *gateway);
void gateway_dispatch_later (struct gateway *gateway);

#endif
