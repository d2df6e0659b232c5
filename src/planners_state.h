/* stocker_state - what the modules planners, stocker_order, stocker_lease and
   planners_set_waiting share.  Private to them.  */

#ifndef PARSLEYRILL_PLANNERS_STATE_H
#define PARSLEYRILL_PLANNERS_STATE_H

#include <glib.h>
#include "core.h"
#include "lease.h"
#include "links.h"
#include "listing.h"
#include "throttle.h"
#include "replica_sync.h"
#include "planner.h"
#include "planners.h"
#include "ts.h"
#include "demand.h"

#define PLANNERS_CELL "engines" /* all of them have one decider */
#define PLANNERS_REPEAT_MS 500  /* wants and holdings are told again */

struct planners
{
  struct service service; /* first */
  struct planners_options options;
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct lease *lease;
  struct site *site;  /* held; what the stocks borrow from */
  GHashTable *stocks; /* service to struct planner; empty: not deciding */
  bool deciding;
  uint64_t term; /* number of the present or last one */
  struct replica_sender *out;
  struct replica_receiver *in;
  struct demand_table *wants;
  struct loop_timer timer; /* of the lease and the stocks */
  struct loop_timer flush;
  struct timespec tick_at;
  struct throttle pace; /* of ticks */
  struct timespec repeat_at;
  struct timespec told_at;
  uint64_t told_version; /* of the configuration, to the other nodes */
};

/* A call under way; what comes back after the term is dropped.  */
struct rpc
{
  struct planners *planners;
  uint64_t term;
  uint64_t attempt;
  char *service;
  char *engine;
};

static inline struct timespec
planners_now (const struct planners *planners)
{
  return loop_now (planners->core->loop);
}

/* Whether this node may decide now: a lease that may have lapsed does not
   count, whatever the last word of the store was.  */
static inline bool
planners_may_decide (const struct planners *planners)
{
  return planners->deciding
         && lease_may_send (planners->lease, clk_now (planners->core->clk));
}

/* planners.c */

void planners_set_timer (struct planners *planners);
/* The stocks of the services of SITE, and the engines listed.  */
void planners_configure (struct planners *planners, struct site *site);
void planners_update_engine (struct planners *planners,
                             const struct server_entry *entry);
/* Calls FN for each planner and carries out what it wants done.  */
void planners_each_planner (struct planners *planners,
                            void (*fn) (struct planners *planners,
                                        struct planner *planner,
                                        struct action_list *out,
                                        const void *data),
                            const void *data);
/* Lets the stocks decide, and tells what changed.  */
/* Finds this node's place among the candidates for the lease.  */
void planners_rank (struct planners *planners);
void planners_tick (struct planners *planners);
/* At once, unless the last one was a moment ago.  */
void planners_tick_soon (struct planners *planners);

/* stocker_order.c */

void planners_run_planner (struct planners *planners, const char *service,
                           struct action_list *list);
struct rpc *planners_rpc_new (struct planners *planners, const char *service,
                              const char *engine);
void planners_rpc_free (struct rpc *rpc);
/* NULL when the term is over.  */
struct planner *planners_rpc_planner (const struct rpc *rpc);

/* stocker_lease.c */

void planners_run_lease (struct planners *planners, struct action_list *list);

/* planners_set_waiting.c */

void planners_publish_replicas (struct planners *planners);
void planners_receive_replicas (struct planners *planners, const char *from,
                                const struct peer_msg *msg);
void planners_send_all_replicas (struct planners *planners, const char *to);
void planners_flush_demand (struct loop_timer *timer);
void planners_receive_demand (struct planners *planners, const char *from,
                              const struct peer_msg *msg);

#endif
