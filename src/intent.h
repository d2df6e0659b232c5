/* intent - write-ahead journal of the orders of one cell.

   An order is a command to an engine, for example to load a model.  It is
   first written as row intent/CELL/ORDER_ID, in a transaction
   that checks the version of the lease row, and is released for sending only
   after the transaction has committed.  The row is deleted after the order is
   settled.  Rows are written and deleted in groups, one transaction at a
   time.  A new leaseholder reads the rows left by its predecessors and sends
   those orders again with the same ids; it never cancels them.  Such an order
   is settled without being sent only when a report made under the new
   holder's fencing token shows that the engine has restarted since
   (order.epoch): no earlier transmission can reach the new process.

   While the table is unavailable, a journal with CHECKS_FENCE releases orders
   unwritten, and when the table is available again writes those that are not
   settled yet.  A journal without CHECKS_FENCE holds orders back until then.

   A state machine without I/O, see action.h.  Control thread only.  */

#ifndef PARSLEYRILL_INTENT_H
#define PARSLEYRILL_INTENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "action.h"
#include "backend.h"
#include "platform.h"

struct intent;

struct intent_options
{
  const char *cell;
  const char *node;
  uint64_t incarnation;
  bool checks_fence;
  struct timespec group_delay;       /* to batch orders; zero: 10 ms */
  struct timespec delete_delay;      /* to batch deletions; zero: 500 ms */
  struct timespec unavailable_after; /* the table counts as unavailable when a
                                        transaction is open for that long;
                                        zero: 1 s */
  GRand *rand;                       /* borrowed; NULL: no jitter */
};

enum intent_action_type
{
  INTENT_SCAN, /* read at most LIMIT rows with PREFIX, then intent_rows */
  INTENT_TXN,  /* send TXN, then intent_txn_done with ATTEMPT */
  INTENT_SEND, /* send ORDER if lease_may_send permits, otherwise drop it:
                  the next leaseholder will send it */
  INTENT_READY /* the rows of predecessors have been read and released with
                  INTENT_SEND; new orders may be planned */
};

struct intent_action
{
  struct action action;
  const char *prefix; /* borrowed from the journal */
  size_t limit;
  uint64_t attempt;
  struct platform_txn txn;    /* borrowed until the next call */
  struct backend_order order; /* owned by the action */
  bool rolled_forward;        /* INTENT_SEND: order of a predecessor */
  bool unwritten;             /* INTENT_SEND: the table is unavailable */
};

struct intent *intent_new (const struct intent_options *options);
void intent_free (struct intent *intent);

/* The lease was acquired with fencing token FENCE, at VERSION of its row.
   Starts reading the rows of predecessors.  */
void intent_acquired (struct intent *intent, uint64_t fence, uint64_t version,
                      struct timespec now, struct action_list *out);

/* The lease row has a new version.  */
void intent_renewed (struct intent *intent, uint64_t version);

/* The lease is lost: drops all entries and releases no more orders.  */
void intent_lost (struct intent *intent);

/* Adds ORDER to the journal.  Returns -EAGAIN before INTENT_READY or without
   the lease, -EEXIST when the id exists.  ORDER is copied and gets the fencing
   token of the lease.  */
int intent_order (struct intent *intent, const struct backend_order *order,
                  struct timespec now);

/* The order is settled by a report or was refused by the engine.  */
void intent_settled (struct intent *intent, const char *order_id,
                     struct timespec now);

void intent_rows (struct intent *intent, enum platform_status status,
                  const struct platform_rows *rows, struct timespec now,
                  struct action_list *out);
void intent_txn_done (struct intent *intent, uint64_t attempt,
                      enum platform_status status,
                      const struct platform_rows *rows, struct timespec now,
                      struct action_list *out);

void intent_tick (struct intent *intent, struct timespec now,
                  struct action_list *out);
/* Time of the next intent_tick; zero: none before the next event.  */
struct timespec intent_next (const struct intent *intent);

bool intent_ready (const struct intent *intent);
bool intent_table_unavailable (const struct intent *intent);
/* Number of entries, settled or not.  */
size_t intent_open (const struct intent *intent);
size_t intent_unsettled (const struct intent *intent);

#endif
