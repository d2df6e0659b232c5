/* cell_state - internal state of cell; private to cell*.c.  */

#ifndef PARSLEYRILL_CELL_STATE_H
#define PARSLEYRILL_CELL_STATE_H

#include "cell.h"
#include "intent.h"
#include "lease.h"
#include "place.h"

struct cell
{
  struct cell_options options;
  struct core *core;
  char *name;
  char *pool;
  unsigned refs; /* one per pending call and one for the owner */
  bool freed;
  struct lease *lease;
  struct intent *intent;
  struct place *place;           /* NULL unless this node holds the lease */
  struct doc *doc;               /* reference; NULL: not loaded yet */
  GPtrArray *predecessor_orders; /* struct backend_order left by previous
                                    leaseholders */
  GHashTable *fence_confirmed;   /* engine ids, see cell_check_fence */
  GHashTable *fence_pending;     /* engine ids with a fence order in flight */
  struct timespec placement_started_at;
  GHashTable *sent_orders; /* order id to struct sent_order */
  struct loop_timer timer;
  char *announced_holder; /* see cell_holder_announced; NULL: none */
  uint64_t announced_fence;
  double loads_per_s;
  unsigned loads_at_once;
  unsigned adapters_at_once;
};

/* An order that the journal has released and whose entry is still needed.  */
struct sent_order
{
  char *engine;
  unsigned pending_calls;
  bool settled; /* to be deleted when the pending calls have ended */
};

/* A pending call to the platform or an engine; holds a reference to CELL.  */
struct pending_call
{
  struct cell *cell;
  uint64_t attempt; /* of the lease; for an order: its fencing token */
  char *order_id;
};

struct pending_call *cell_pending_call_new (struct cell *cell,
                                            uint64_t attempt,
                                            const char *order_id);

/* NULL when the cell was freed meanwhile.  CALL keeps its reference.  */
struct cell *cell_of_pending_call (const struct pending_call *call);
void cell_pending_call_free (struct pending_call *call);

struct timespec cell_now (const struct cell *cell);

/* Sets the timer to the earliest next tick of lease, journal and placement. */
void cell_set_timer (struct cell *cell);

/* Executes actions of the lease.  */
void cell_run_lease_actions (struct cell *cell, struct action_list *list);

/* Placement starts when the journal has been read and stops when the lease
   ends.  */
void cell_start_placement (struct cell *cell);
void cell_stop_placement (struct cell *cell);

/* Whether REPORT, requested at REQUESTED_AT, was made after the engine saw our
   fencing token, so that orders of earlier leaseholders can no longer change
   the reported state.  If not, and the engine checks tokens, sends it our
   token with an order that changes nothing.  */
bool cell_check_fence (struct cell *cell, const struct backend_report *report,
                       struct timespec requested_at);

/* Whether the last report of ENGINE passed cell_check_fence.  */
bool cell_fence_confirmed (const struct cell *cell, const char *engine);

/* Settles those orders of previous leaseholders that ended when the engine of
   REPORT restarted, and drops the others on that engine from
   predecessor_orders.  */
void cell_settle_predecessor_orders (struct cell *cell,
                                     const struct backend_report *report,
                                     struct action_list *list);

/* The journal has released ORDER: it may be sent from now on.  */
void cell_order_released (struct cell *cell,
                          const struct backend_order *order);

/* Sends ORDER if the journal has released it, the engine has confirmed our
   fencing token and the lease still permits it.  */
void cell_send (struct cell *cell, const struct backend_order *order);

/* Executes actions of placement: journals new orders, resends old ones and
   deletes settled ones.  */
void cell_run_placement_actions (struct cell *cell, struct action_list *list);

void cell_sent_order_free (gpointer pointer);

#endif
