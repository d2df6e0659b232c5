/* intent - journal of the orders of one cell.

   An order is first a row intent/CELL/ORDER_ID, written in a transaction that
   checks the lease row's version, and is released for sending only when that
   has taken effect.  The row is deleted after settlement.  Rows are written
   and deleted in groups, one transaction at a time.  A new holder reads the
   rows that its predecessors left and sends those orders again under the same
   ids; it never cancels them.  Only when a report made under the new holder's
   token shows that the engine has restarted since (order.epoch) is such an
   order settled without being sent: no copy of it can reach the new process.

   While the table is away, a journal with CHECKS_FENCE releases orders
   unwritten and writes back those that are not yet settled when the table
   returns.  A journal without holds them until the table answers.

   Pure decider: see action.h.  Control thread only.  */

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
  struct timespec group_delay;       /* zero: 10 ms; gathers orders */
  struct timespec delete_delay;      /* zero: 500 ms; gathers deletions */
  struct timespec unavailable_after; /* zero: 1 s; the table counts as away
                                 when a transaction is open for so long */
  GRand *rand;                       /* borrowed; NULL: no jitter */
};

enum intent_action_type
{
  INTENT_SCAN, /* rows with PREFIX, at most LIMIT; then intent_rows */
  INTENT_TXN,  /* send TXN, then intent_txn_done with ATTEMPT */
  INTENT_SEND, /* ORDER may go out, if lease_may_send says so; when it
                  doesn't, drop it: the successor sends it */
  INTENT_READY /* all rows of predecessors are known and were released
                  with INTENT_SEND; new orders may be planned */
};

struct intent_action
{
  struct action action;
  const char *prefix; /* borrowed from the journal */
  size_t limit;
  uint64_t attempt;
  struct platform_txn txn;    /* borrowed until the next call */
  struct backend_order order; /* owned by the action */
  bool rolled_forward;        /* INTENT_SEND: of a predecessor */
  bool unwritten;             /* INTENT_SEND: the table is away */
};

struct intent *intent_new (const struct intent_options *options);
void intent_free (struct intent *intent);

/* The lease was won with FENCE, at VERSION of its row.  Asks for the rows of
   predecessors.  */
void intent_acquired (struct intent *intent, uint64_t fence, uint64_t version,
                      struct timespec now, struct action_list *out);

/* The lease row has a new version.  */
void intent_renewed (struct intent *intent, uint64_t version);

/* The lease is lost: everything is forgotten, nothing more is released.  */
void intent_lost (struct intent *intent);

/* -EAGAIN before INTENT_READY or without the lease, -EEXIST when the id is
   taken.  ORDER is copied; its fence is set by the module.  */
int intent_order (struct intent *intent, const struct backend_order *order,
                  struct timespec now);

/* The order is over: a report settles it or the engine refused it.  */
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
/* When to call intent_tick next; zero: not before something happens.  */
struct timespec intent_next (const struct intent *intent);

bool intent_ready (const struct intent *intent);
bool
intent_table_unavailable (const struct intent *intent); /* the table is away */
size_t intent_open (const struct intent *intent);      /* rows to be deleted */
size_t intent_unsettled (const struct intent *intent); /* not settled */

#endif
