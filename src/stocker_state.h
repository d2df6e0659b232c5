/* stocker_state - what the modules stocker, stocker_order, stocker_lease and
   stocker_want share.  Private to them.  */

#ifndef PARSLEYRILL_STOCKER_STATE_H
#define PARSLEYRILL_STOCKER_STATE_H

#include <glib.h>
#include "core.h"
#include "lease.h"
#include "links.h"
#include "listing.h"
#include "pace.h"
#include "spread.h"
#include "stock.h"
#include "stocker.h"
#include "ts.h"
#include "wants.h"

#define STOCKER_CELL "engines" /* all of them have one decider */
#define STOCKER_REPEAT_MS 500  /* wants and holdings are told again */

struct stocker
{
  struct service service; /* first */
  struct stocker_options options;
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct lease *lease;
  struct site *site;  /* held; what the stocks borrow from */
  GHashTable *stocks; /* service to struct stock; empty: not deciding */
  bool deciding;
  uint64_t tenure; /* number of the present or last one */
  struct spread_out *out;
  struct spread_in *in;
  struct wants *wants;
  struct loop_timer timer; /* of the lease and the stocks */
  struct loop_timer flush;
  struct timespec tick_at;
  struct pace pace; /* of ticks */
  struct timespec repeat_at;
  struct timespec told_at;
  uint64_t told_version; /* of the configuration, to the other nodes */
};

/* A call under way; what comes back after the tenure is dropped.  */
struct errand
{
  struct stocker *stocker;
  uint64_t tenure;
  uint64_t attempt;
  char *service;
  char *engine;
};

static inline struct timespec
stocker_now (const struct stocker *stocker)
{
  return loop_now (stocker->core->loop);
}

/* Whether this node may decide now: a lease that may have lapsed does not
   count, whatever the last word of the store was.  */
static inline bool
stocker_sure (const struct stocker *stocker)
{
  return stocker->deciding
         && lease_may_send (stocker->lease, clk_now (stocker->core->clk));
}

/* stocker.c */

void stocker_set_timer (struct stocker *stocker);
/* The stocks of the services of SITE, and the engines listed.  */
void stocker_configure (struct stocker *stocker, struct site *site);
void stocker_take_entry (struct stocker *stocker,
                         const struct server_entry *entry);
/* Calls FN for each stock and carries out what it wants done.  */
void
stocker_each_stock (struct stocker *stocker,
                    void (*fn) (struct stocker *stocker, struct stock *stock,
                                struct action_list *out, const void *data),
                    const void *data);
/* Lets the stocks decide, and tells what changed.  */
/* Finds this node's place among the candidates for the lease.  */
void stocker_rank (struct stocker *stocker);
void stocker_tick (struct stocker *stocker);
/* At once, unless the last one was a moment ago.  */
void stocker_tick_soon (struct stocker *stocker);

/* stocker_order.c */

void stocker_run_stock (struct stocker *stocker, const char *service,
                        struct action_list *list);
struct errand *stocker_errand (struct stocker *stocker, const char *service,
                               const char *engine);
void stocker_errand_free (struct errand *errand);
/* NULL when the tenure is over.  */
struct stock *stocker_errand_stock (const struct errand *errand);

/* stocker_lease.c */

void stocker_run_lease (struct stocker *stocker, struct action_list *list);

/* stocker_want.c */

void stocker_tell_holdings (struct stocker *stocker);
void stocker_take_replicas (struct stocker *stocker, const char *from,
                            const struct peer_msg *msg);
void stocker_send_full (struct stocker *stocker, const char *to);
void stocker_flush_fire (struct loop_timer *timer);
void stocker_take_wants (struct stocker *stocker, const char *from,
                         const struct peer_msg *msg);

#endif
