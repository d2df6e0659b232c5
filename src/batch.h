/* batch - group commit: combines single-row writes into transactions.

   A transaction with an unknown outcome is sent again with the same token
   until its outcome is known.  Writes of a transaction that was refused or had
   a conflict are put into another one.  Transactions are atomic, so after a
   conflict only the writes to the conflicting rows settle.

   A state machine without I/O, used by one thread.  Every write ends with
   exactly one settled callback or with a successful batch_cancel.  The
   callback may add writes.

   Ownership: writes are embedded in the caller's structs and are borrowed,
   with their strings, until they settle.  */

#ifndef PARSLEYRILL_BATCH_H
#define PARSLEYRILL_BATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>
#include "action.h"
#include "platform.h"

#define BATCH_ROWS 64        /* maximum writes per transaction */
#define BATCH_LINGER_MS 3    /* a single write waits this long for others */
#define BATCH_INTERVAL_MS 20 /* between transactions that are not full */
#define BATCH_TXNS_MAX 4     /* transactions in progress at the same time */
#define BATCH_RESEND_MS 100  /* initial delay after a failure */
#define BATCH_RESEND_MAX_MS 2000

struct batch;
struct batch_txn;

struct batch_write
{
  const char *row;
  uint64_t version;  /* expected version of the row; 0: no row */
  const char *value; /* NULL: delete the row */
  /* private to the module */
  TAILQ_ENTRY (batch_write) link;
  struct timespec since; /* added */
  struct batch_txn *txn; /* the transaction it was sent with, or NULL */
  bool may_have_applied; /* by an earlier transmission, or may still be */
};

struct batch_ops
{
  /* DONE: the write was committed.  Otherwise ROW (borrowed, never NULL)
     conflicted with it.  If an earlier transmission of the write may have
     taken effect, ROW may hold what the caller itself wrote.  */
  void (*settled) (void *user, struct batch_write *write, bool done,
                   const struct platform_row *row, struct timespec now,
                   struct action_list *actions);
};

struct batch_options
{
  const char *name; /* of this process, unique across restarts; copied */
  const struct batch_ops *ops;
  void *user;
  int action_type; /* of the struct batch_action that is pushed */
};

struct batch_action
{
  struct action action;
  struct platform_txn txn; /* owned by the action */
};

struct batch *batch_new (const struct batch_options *options);
void batch_free (struct batch *batch);

/* For cleanup before batch_free: removes and returns any write, whatever
   its state; NULL when there is none.  */
struct batch_write *batch_detach_any (struct batch *batch);

void batch_add (struct batch *batch, struct batch_write *write,
                struct timespec now);

/* Returns WRITE to the caller and true if it can no longer take effect;
   otherwise does nothing and returns false.  */
bool batch_cancel (struct batch *batch, struct batch_write *write);

void batch_done (struct batch *batch, const char *token,
                 enum platform_status status, const struct platform_rows *rows,
                 struct timespec now, struct action_list *actions);
void batch_tick (struct batch *batch, struct timespec now,
                 struct action_list *actions);

/* Sets *AT to the time at which batch_tick is due.  False when there is
   nothing to do.  */
bool batch_next (const struct batch *batch, struct timespec *at);

#endif
