/* record_wait - requests that wait for a verdict of record.h.

   A waiter is on the list of one row until it receives its verdict or is
   cancelled with record_cancel.  */

#ifndef PARSLEYRILL_RECORD_WAIT_H
#define PARSLEYRILL_RECORD_WAIT_H

#include <sys/queue.h>
#include <glib.h>
#include "deadlines.h"
#include "record.h"
#include "record_row.h"

struct record_entry;

struct record_waiter
{
  struct deadlines_node due; /* must be first */
  TAILQ_ENTRY (record_waiter) link;
  struct record_waiters *list; /* NULL once the request may run */
  struct record_entry *entry;  /* set also when LIST is NULL */
  unsigned thread;
  uint64_t request;
  uint64_t fingerprint;
  struct timespec deadline;
};

TAILQ_HEAD (record_waiter_list, record_waiter);

struct record_waiters
{
  struct record_waiter_list list;
  struct record_entry *entry;
};

struct record_wait
{
  GHashTable *waiters; /* struct record_waiter, by thread and request */
  struct deadlines due;
};

void record_wait_init (struct record_wait *wait);
void record_wait_clear (struct record_wait *wait); /* frees all waiters */

/* Adds a waiter to LIST, with the time limit of
   record_wait_use_table_timeout.  */
void record_wait_add (struct record_wait *wait, struct record_waiters *list,
                      const struct record_request *request,
                      struct timespec now);
struct record_waiter *record_wait_find (const struct record_wait *wait,
                                        unsigned thread, uint64_t request);

/* Sends MSG_VERDICT_RUN to WAITER, which leaves its list but exists until
   it is removed.  */
void record_wait_grant (struct record_wait *wait, struct record_waiter *waiter,
                        struct timespec now, struct action_list *actions);
void record_wait_remove (struct record_wait *wait,
                         struct record_waiter *waiter);

/* While a claim or release is written: all waiters of LIST expire after
   RECORD_BEGIN_TIMEOUT_MS or at their deadlines, whichever is earlier.  */
void record_wait_use_table_timeout (struct record_wait *wait,
                                    struct record_waiters *list,
                                    struct timespec now);

/* While the outcome is awaited: all waiters of LIST expire at their
   deadlines.  */
void record_wait_use_deadlines (struct record_wait *wait,
                                struct record_waiters *list);

void record_wait_reply (struct record_wait *wait, struct record_waiter *waiter,
                        enum msg_verdict verdict, struct action_list *actions);
void record_wait_reply_all (struct record_wait *wait,
                            struct record_waiters *list,
                            enum msg_verdict verdict,
                            struct action_list *actions);

/* Sends MSG_VERDICT_KEY_MISMATCH to waiters with another fingerprint.  */
void record_wait_reply_mismatched (struct record_wait *wait,
                                   struct record_waiters *list,
                                   uint64_t fingerprint,
                                   struct action_list *actions);

/* Sends MSG_VERDICT_RECORDED, with the metadata of ROW and BODY, to all
   waiters of LIST.  */
void record_wait_reply_recorded (struct record_wait *wait,
                                 struct record_waiters *list,
                                 const struct record_row *row,
                                 const void *body, size_t length,
                                 struct action_list *actions);

#endif
