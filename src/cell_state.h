/* cell_state - what the files of the cell module share; see cell.h.  */

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
  unsigned refs; /* calls under way hold one each */
  bool freed;
  struct lease *lease;
  struct intent *intent;
  struct place *place; /* NULL unless this node decides */
  struct doc *doc;     /* held; NULL: none yet */
  GPtrArray *
      predecessor_orders; /* struct backend_order, until the journal is read */
  GHashTable
      *fence_confirmed;      /* ids of engines with a report under our token */
  GHashTable *fence_pending; /* ids of engines that are being told our token */
  struct timespec started;   /* when placement began */
  GHashTable *sent_orders;   /* order id to struct sent */
  struct loop_timer timer;
  char *announced_holder; /* node that said it decides; NULL: none */
  uint64_t announced_fence;
  double loads_per_s;
  unsigned loads_at_once;
  unsigned adapters_at_once;
};

/* An order that is not over.  */
struct sent_order
{
  char *engine;
  unsigned calls; /* under way */
  bool settled;   /* settled, once the calls have ended */
};

/* A call to the platform or an engine that is under way.  */
struct pending_call
{
  struct cell *cell;
  uint64_t attempt;
  char *order_id;
};

struct pending_call *cell_pending_call_new (struct cell *cell,
                                            uint64_t attempt,
                                            const char *order_id);

/* NULL when the cell was freed meanwhile; the reference goes with CALL.  */
struct cell *cell_of_pending_call (const struct pending_call *call);
void cell_pending_call_free (struct pending_call *call);

struct timespec cell_now (const struct cell *cell);

/* Sets the timer to whatever the cell's deciders want next.  */
void cell_set_timer (struct cell *cell);

/* Carries out the lease's actions.  */
void cell_run_lease (struct cell *cell, struct action_list *list);

/* The journal is read: placement begins, or ends with the lease.  */
void cell_start_place (struct cell *cell);
void cell_stop_place (struct cell *cell);

/* Whether REPORT, asked for at ASKED, was made under the token of our lease:
   an older holder can no longer change what it says.  If not, and the engine
   checks tokens, the engine is told ours by an order that changes nothing.  */
bool cell_check_fence (struct cell *cell, const struct backend_report *report,
                       struct timespec asked);

/* Whether the last report of ENGINE was such a one.  */
bool cell_fence_confirmed (const struct cell *cell, const char *engine);

/* Settles the orders of predecessors that an engine's restart has ended.  */
void cell_settle_predecessor_orders (struct cell *cell,
                                     const struct backend_report *report,
                                     struct action_list *list);

/* The journal holds ORDER: it may be sent from now on.  */
void cell_order_released (struct cell *cell,
                          const struct backend_order *order);

/* Sends ORDER if the journal has released it and the lease still allows it. */
void cell_send (struct cell *cell, const struct backend_order *order);

/* Carries out placement's actions: journals new orders, sends old ones.  */
void cell_run_place (struct cell *cell, struct action_list *list);

void cell_sent_order_free (gpointer pointer);

#endif
