/* record_wait - the callers that wait for a verdict of record.h.

   A waiter hangs on one list of waiters (of one row) and ends with one
   verdict, or by record_wait_leave.  */

#ifndef PARSLEYRILL_RECORD_WAIT_H
#define PARSLEYRILL_RECORD_WAIT_H

#include <sys/queue.h>
#include <glib.h>
#include "deadlines.h"
#include "record.h"
#include "record_row.h"

struct record_waiter
{
  struct deadlines_node due; /* first */
  TAILQ_ENTRY (record_waiter) link;
  struct record_waiters *list; /* NULL once it runs */
  void *user;                  /* of that list */
  unsigned thread;
  uint64_t request;
  uint64_t fingerprint;
  struct timespec deadline;
};

TAILQ_HEAD (record_waiter_list, record_waiter);

struct record_waiters
{
  struct record_waiter_list list;
  void *user; /* the row's entry */
};

struct record_wait
{
  GHashTable *callers; /* struct record_waiter by thread and request */
  struct deadlines due;
};

void record_wait_init (struct record_wait *wait);
void record_wait_clear (struct record_wait *wait); /* frees all waiters */

/* Waits for the table at first: see record_wait_for_table.  */
void record_wait_add (struct record_wait *wait, struct record_waiters *list,
                      const struct record_request *request,
                      struct timespec now);
struct record_waiter *record_wait_find (const struct record_wait *wait,
                                        unsigned thread, uint64_t request);

/* WAITER is told MSG_VERDICT_RUN and stays, off its list, until it is removed.
 */
void record_wait_run (struct record_wait *wait, struct record_waiter *waiter,
                      struct timespec now, struct action_list *actions);
void record_wait_remove (struct record_wait *wait,
                         struct record_waiter *waiter);

/* All of LIST wait until RECORD_BEGIN_PATIENCE_MS or their deadlines.  */
void record_wait_for_table (struct record_wait *wait,
                            struct record_waiters *list, struct timespec now);

/* All of LIST wait until their deadlines.  */
void record_wait_for_outcome (struct record_wait *wait,
                              struct record_waiters *list);

void record_wait_tell (struct record_wait *wait, struct record_waiter *waiter,
                       enum msg_verdict verdict, struct action_list *actions);
void record_wait_tell_all (struct record_wait *wait,
                           struct record_waiters *list,
                           enum msg_verdict verdict,
                           struct action_list *actions);

/* MSG_VERDICT_KEY_MISMATCH to those with another fingerprint.  */
void record_wait_tell_mismatched (struct record_wait *wait,
                                  struct record_waiters *list,
                                  uint64_t fingerprint,
                                  struct action_list *actions);

/* MSG_VERDICT_RECORDED with the answer of ROW and BODY to all of LIST.  */
void record_wait_tell_recorded (struct record_wait *wait,
                                struct record_waiters *list,
                                const struct record_row *row, const void *body,
                                size_t length, struct action_list *actions);

#endif
