/* lease - one node's part in the lease of one cell.

   The lease is the row cell/NAME: holder, incarnation, fencing token, and
   whether it was released.  It changes hands only by a transaction that
   checks the row's version.  No instant is ever compared between nodes: a
   holder counts from the moment that it sent its last renewal that took
   effect, a candidate from the moment that it first saw the row's present
   version, and waits longer than the holder by WAIT_FACTOR (Gray and Cheriton
   1989, with clocks that differ in rate only).

   Pure decider: see action.h.  Control thread only.  Every txn action is
   answered by one lease_txn_done, every read action by one lease_row.  */

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
#define LEASE_CANDIDATES 3 /* places that watch the row */
#define LEASE_MARGIN_MS                                                       \
  800 /* no order is sent in the last part of a lease                         \
       */

struct lease;

enum lease_state
{
  LEASE_WATCHING,  /* not ours */
  LEASE_ACQUIRING, /* a transaction to acquire it is under way */
  LEASE_HELD,      /* ours as far as is known; see lease_may_send */
  LEASE_RELEASING  /* being given up */
};

struct lease_options
{
  const char *cell;
  const char *node;
  uint64_t incarnation;
  bool checks_fence;        /* all engines of the cell refuse old tokens */
  struct timespec duration; /* zero: LEASE_DURATION_MS */
  struct timespec margin;   /* zero: LEASE_MARGIN_MS */
  GRand *rand;              /* borrowed; NULL: no jitter */
};

enum lease_action_type
{
  LEASE_READ,    /* read row KEY, then lease_row */
  LEASE_TXN,     /* send TXN, then lease_txn_done with ATTEMPT */
  LEASE_WON,     /* this node decides for the cell: FENCE, VERSION */
  LEASE_RENEWED, /* the row has a new VERSION */
  LEASE_LOST,    /* another node holds it, or it was released */
  LEASE_RELEASED /* given up: tell the first candidate (lease_hint) */
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

/* Place of this node among the candidates for the cell, 0 being the first;
   UINT_MAX: none.  Until the first call the node is no candidate.  */
void lease_set_rank (struct lease *lease, unsigned rank, struct timespec now);

/* Call when lease_next has come; it is always some seconds away at most.  */
void lease_tick (struct lease *lease, struct timespec now,
                 struct action_list *out);
struct timespec lease_next (const struct lease *lease);

/* ROW is NULL when there is none or STATUS is not PLATFORM_OK.  */
void lease_row (struct lease *lease, enum platform_status status,
                const struct platform_row *row, struct timespec now,
                struct action_list *out);

/* ROW is the row as it is, on PLATFORM_OK and PLATFORM_CONFLICT; NULL: not
   known.  */
void lease_txn_done (struct lease *lease, uint64_t attempt,
                     enum platform_status status,
                     const struct platform_row *row, struct timespec now,
                     struct action_list *out);

/* Planned stop, or a better candidate: no order may be sent any more.  */
void lease_release (struct lease *lease, struct timespec now,
                    struct action_list *out);

/* Word from the holder that it gave the lease up: read the row now.  */
void lease_hint (struct lease *lease, struct timespec now,
                 struct action_list *out);

/* Membership's opinion of the holder.  Where engines check the token, the
   lease of a dead holder needn't be waited out.  */
void lease_holder_dead (struct lease *lease, const char *node,
                        struct timespec now);

/* An engine has seen token FENCE.  */
void lease_fenced (struct lease *lease, uint64_t fence, struct timespec now,
                   struct action_list *out);

/* Whether an order may go out at NOW.  Read the clock and ask after the last
   step that may block, directly before the send.  Behind the end of the lease
   it is true only where engines check the token and the table has failed to
   answer since: a holder that was paused must ask the table first.  */
bool lease_may_send (const struct lease *lease, struct timespec now);

enum lease_state lease_state (const struct lease *lease);
uint64_t lease_fence (const struct lease *lease);   /* 0: not held */
uint64_t lease_version (const struct lease *lease); /* of the row; 0: none */
/* Node that the row named last; NULL: none, or released.  */
const char *lease_holder (const struct lease *lease);
const char *lease_cell (const struct lease *lease);

#endif
