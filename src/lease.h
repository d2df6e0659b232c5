/* lease - a node's participation in the lease of one cell.

   The lease is the table row cell/NAME with holder, incarnation, fencing
   token and a flag for released.  The holder changes only by a transaction
   that checks the row's version.  Timestamps are never compared between
   nodes: the holder's lease starts when it sent its last successful renewal;
   a candidate's wait starts when it first read the current version of the
   row, and is longer than the lease by CLOCK_RATE_FACTOR (Gray and Cheriton
   1989, for clocks that differ only in rate).

   When the table is restored from a copy, versions and tokens in it go back.
   A new era of the table therefore ends the lease, transactions of an earlier
   one are void, and a row that was not written in the current era, or is
   missing, tells nothing of the present holder: candidates wait as if it had
   just been renewed.  Only the node that held the lease when it heard of the
   era may acquire it again at once, as nobody else can have before that lease
   expires.  Tokens have the era in their high bits and grow with the version
   of the row.

   A state machine without I/O, see action.h.  Control thread only.  Each
   LEASE_TXN must be answered by one lease_txn_done and each LEASE_READ by one
   lease_row.  */

#ifndef PARSLEYRILL_LEASE_H
#define PARSLEYRILL_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "action.h"
#include "platform.h"

#define LEASE_DURATION_MS 4000
#define LEASE_CANDIDATES 3 /* ranks that watch the row */
#define LEASE_MARGIN_MS                                                       \
  800 /* before it expires, in which no orders are sent */

struct lease;

enum lease_state
{
  LEASE_WATCHING,  /* not held by this node */
  LEASE_ACQUIRING, /* a transaction to acquire it is pending */
  LEASE_HELD,      /* may have expired: see lease_may_send */
  LEASE_RELEASING
};

struct lease_options
{
  const char *cell;
  const char *node;
  uint64_t incarnation;
  bool checks_fence;        /* all engines of the cell refuse old fencing
                               tokens */
  struct timespec duration; /* zero: LEASE_DURATION_MS */
  struct timespec margin;   /* zero: LEASE_MARGIN_MS */
  GRand *rand;              /* borrowed; NULL: no jitter */
};

enum lease_action_type
{
  LEASE_READ,    /* read row KEY, then lease_row */
  LEASE_TXN,     /* send TXN, then lease_txn_done with ATTEMPT */
  LEASE_WON,     /* this node is the holder, with FENCE and VERSION */
  LEASE_RENEWED, /* the row has a new VERSION */
  LEASE_LOST,    /* another node has changed the row or has a higher token, or
                    the table was restored */
  LEASE_RELEASED /* released: notify the candidates, see lease_hint */
};

struct lease_action
{
  struct action action;
  const char *cell;        /* borrowed from the lease */
  const char *key;         /* of the row; borrowed from the lease */
  uint64_t attempt;        /* LEASE_TXN */
  struct platform_txn txn; /* borrowed until the next call for this lease */
  uint64_t fence;
  uint64_t version; /* of the lease row */
};

struct lease *lease_new (const struct lease_options *options);
void lease_free (struct lease *lease);

/* RANK of this node among the candidates for the cell, from 0; UINT_MAX, the
   initial value: not a candidate.  */
void lease_set_rank (struct lease *lease, unsigned rank, struct timespec now);

/* Call at lease_next, which is at most a few seconds away.  */
void lease_tick (struct lease *lease, struct timespec now,
                 struct action_list *out);
struct timespec lease_next (const struct lease *lease);

/* ROW is NULL when it does not exist or STATUS is not PLATFORM_OK.  */
void lease_row (struct lease *lease, enum platform_status status,
                const struct platform_row *row, struct timespec now,
                struct action_list *out);

/* ROW is the current row on PLATFORM_OK and PLATFORM_CONFLICT; NULL:
   unknown.  */
void lease_txn_done (struct lease *lease, uint64_t attempt,
                     enum platform_status status,
                     const struct platform_row *row, struct timespec now,
                     struct action_list *out);

/* An order was sent at NOW with the fencing token of the held lease.  */
void lease_order_sent (struct lease *lease, struct timespec now);
/* The engine has answered an order that was sent with FENCE, or nothing of it
   was sent.  Orders without an answer are not reported: they may arrive until
   the margin of struct lease_options has passed.  */
void lease_order_answered (struct lease *lease, uint64_t fence,
                           struct timespec now);

/* Releases the lease, on shutdown or for a better candidate.  No order may be
   sent afterwards.  Where engines do not check the fencing token, the row
   changes once no order can arrive any more.  */
void lease_release (struct lease *lease, struct timespec now,
                    struct action_list *out);

/* The holder announced that it released the lease: reads the row now.  */
void lease_hint (struct lease *lease, struct timespec now,
                 struct action_list *out);

/* Membership considers NODE dead.  Where engines check the fencing token, the
   lease of a dead holder may be acquired before it expires.  */
void lease_holder_dead (struct lease *lease, const char *node,
                        struct timespec now);

/* An engine has seen fencing token FENCE: a higher one than ours ends the
   lease.  */
void lease_fenced (struct lease *lease, uint64_t fence, struct timespec now,
                   struct action_list *out);

/* The table is in ERA, see platform.h.  To be called before the result of the
   call that showed it is passed on.  */
void lease_set_era (struct lease *lease, uint64_t era, struct timespec now,
                    struct action_list *out);

/* Whether an order may be sent at NOW.  To be called directly before the send
   with a fresh clock reading, after any step that may block.  After the lease
   has expired it is true only where engines check the fencing token and the
   table has failed since the last renewal: a holder that was paused must
   reach the table first.  */
bool lease_may_send (const struct lease *lease, struct timespec now);

enum lease_state lease_state (const struct lease *lease);
uint64_t lease_fence (const struct lease *lease);   /* 0: not held */
uint64_t lease_version (const struct lease *lease); /* of the row; 0: none */
/* Holder according to the last read of the row; NULL: none or released.  */
const char *lease_holder (const struct lease *lease);
const char *lease_cell (const struct lease *lease);

#endif
