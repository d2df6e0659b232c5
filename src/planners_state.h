/* planners_state - state shared by the modules planners, planners_order,
   planners_lease and planners_demand.  Private to them.  */

#ifndef PARSLEYRILL_PLANNERS_STATE_H
#define PARSLEYRILL_PLANNERS_STATE_H

#include <glib.h>
#include "core.h"
#include "modelspeed.h"
#include "lease.h"
#include "links.h"
#include "listing.h"
#include "throttle.h"
#include "replica_sync.h"
#include "planner.h"
#include "planners.h"
#include "ts.h"
#include "demand.h"
#include "ratelimits.h"

#define PLANNERS_CELL "engines" /* one lease covers all engines */
#define PLANNERS_REPEAT_MS 500  /* unchanged state is sent this often */

struct planners
{
  struct service service; /* first */
  struct planners_options options;
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct ratelimits *ratelimits;
  struct lease *lease;
  struct site *site;      /* owned reference; the planners borrow from it */
  GHashTable *by_service; /* service to struct planner; empty: not deciding */
  bool deciding;          /* this node holds the lease, as far as is known */
  GHashTable *cut_off;    /* names of services whose engines this node does
                             not reach, while others do */
  uint64_t term;          /* counts the times that this node won the lease */
  struct replica_sender *out;  /* NULL before the first term */
  struct replica_receiver *in; /* replicas published by another node */
  struct demand_table *demand; /* of this node */
  GHashTable *request_times; /* service to struct reqtime, seen by this node */
  GHashTable *speeds;        /* service to struct modelspeed, the same */
  struct loop_timer timer;   /* of the lease and the planners */
  struct loop_timer flush;   /* of DEMAND */
  struct loop_timer loads;   /* of the loads of servers */
  struct timespec tick_at;   /* next tick of the planners */
  struct throttle throttle;  /* of ticks */
  struct timespec repeat_at; /* when all demand is sent again */
  unsigned short_models;     /* of all planners in the last tick */
  struct timespec compared_at; /* last search for changes to publish */
  struct timespec published_at;
  uint64_t published_version; /* of the configuration */
  int64_t published_age_ms;   /* of the list of servers, at PUBLISHED_AT */
  int64_t published_config_age_ms;
  uint64_t in_version; /* the same in the last message applied */
  uint64_t in_list_version;
  uint64_t in_list_era;
  struct timespec requested_at; /* last request for the complete list */
};

/* An asynchronous call.  Its result is dropped if the term in which it was
   started has ended.  */
struct rpc
{
  struct planners *planners;
  uint64_t term;
  uint64_t attempt; /* of a lease transaction */
  uint64_t fence;   /* of an order that was sent; 0: none */
  char *service;
  char *engine;
};

static inline struct timespec
planners_now (const struct planners *planners)
{
  return loop_now (planners->core->loop);
}

/* Whether this node may decide now: not if the lease may have expired, even if
   the store has not reported its loss yet.  */
static inline bool
planners_may_decide (const struct planners *planners)
{
  return planners->deciding
         && lease_may_send (planners->lease, clk_now (planners->core->clk));
}

/* planners.c */

/* Sets the timer for whatever is due first, the lease or the planners.  */
void planners_set_timer (struct planners *planners);
/* Creates or updates a planner for each service of SITE with engines, removes
   those of services that SITE lacks, and adds the listed engines.  */
void planners_configure (struct planners *planners, struct site *site);
void planners_update_engine (struct planners *planners,
                             const struct server_entry *entry);
/* Calls FN for each planner and carries out its actions.  */
void planners_each_planner (struct planners *planners,
                            void (*fn) (struct planners *planners,
                                        struct planner *planner,
                                        struct action_list *out,
                                        const void *data),
                            const void *data);
/* Updates this node's rank among the candidates for the lease.  */
void planners_rank (struct planners *planners);
/* Runs the planners and publishes changes.  */
void planners_tick (struct planners *planners);
/* Schedules a tick for the earliest time that the throttle allows.  */
void planners_tick_soon (struct planners *planners);

/* planners_order.c */

/* Carries out the actions in LIST of the planner of SERVICE.  */
void planners_run_planner (struct planners *planners, const char *service,
                           struct action_list *list);
struct rpc *planners_rpc_new (struct planners *planners, const char *service,
                              const char *engine);
void planners_rpc_free (struct rpc *rpc);
/* The planner that RPC was started for; NULL when that term has ended.  */
struct planner *planners_rpc_planner (const struct rpc *rpc);

/* planners_lease.c */

/* Carries out the actions in LIST of the lease.  */
void planners_run_lease (struct planners *planners, struct action_list *list);

/* planners_replicas.c: the replicas on the engines, published by the decider
   to its own table of servers and to all other nodes.  */

void planners_publish_replicas (struct planners *planners);
void planners_receive_replicas (struct planners *planners, const char *from,
                                const struct peer_msg *msg);
void planners_send_all_replicas (struct planners *planners, const char *to);

/* planners_demand.c: waiting requests and arrivals at this node, reported to
   the decider.  */

/* The node that currently decides, as far as is known; NULL if unknown.  */
const char *planners_current_decider (const struct planners *planners);

/* Reports all demand soon, to a new decider.  */
void planners_resend_demand (struct planners *planners);
void planners_flush_demand (struct loop_timer *timer);
void planners_receive_demand (struct planners *planners, const char *from,
                              const struct peer_msg *msg);

/* planners_loads.c: loads of the servers, as seen in responses, exchanged
   between all nodes through the decider.  */

void planners_share_loads (struct loop_timer *timer);
void planners_receive_loads (struct planners *planners, const char *from,
                             const struct peer_msg *msg);

#endif
