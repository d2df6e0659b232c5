/* record_entry - one record row that is in use at this node.

   Internal to record.h: the life cycle of a row from claim to outcome, and
   the verdicts for its waiters.  */

#ifndef PARSLEYRILL_RECORD_ENTRY_H
#define PARSLEYRILL_RECORD_ENTRY_H

#include <glib.h>
#include "batch.h"
#include "deadlines.h"
#include "record.h"
#include "record_row.h"
#include "record_wait.h"

struct record_clean;

enum record_entry_state
{
  RECORD_ENTRY_CLAIMING,  /* inserting the row */
  RECORD_ENTRY_RUNNING,   /* owned by this node; awaiting the outcome */
  RECORD_ENTRY_STORING,   /* storing a large response in the object store */
  RECORD_ENTRY_FINISHING, /* writing the outcome */
  RECORD_ENTRY_RELEASING, /* writing that the request did not run */
  RECORD_ENTRY_POLLING,   /* another node owns the row */
  RECORD_ENTRY_FETCHING   /* reading a large response from the object store */
};

struct record_entry
{
  struct batch_write write;         /* must be first */
  struct deadlines_node retry_node; /* next poll or object store retry */
  enum record_entry_state state;
  char *row;
  char *value;               /* value being written */
  struct record_row content; /* intended content of the row */
  uint64_t version;          /* version of the row */
  struct record_waiters waiters;
  unsigned tries;
  struct timespec object_deadline;
};

struct record
{
  char *name; /* of this process, unique across restarts */
  char *node;
  GPtrArray *nodes; /* members; NULL: unknown */
  struct timespec epoch;
  uint64_t next_claim;
  struct batch *batch;
  struct record_clean *clean;
  GHashTable *entries; /* row key -> struct record_entry */
  GHashTable *objects; /* object key -> struct record_entry */
  struct record_wait wait;
  struct deadlines retries; /* entries to poll or retry */
  size_t buffered;          /* bytes of responses not yet stored */
};

/* Takes ownership of ROW.  */
struct record_entry *record_entry_new (struct record *record, char *row);

/* Frees ENTRY.  No write of it may be in progress.  */
void record_entry_drop (struct record *record, struct record_entry *entry);

bool record_entry_has_no_waiters (const struct record_entry *entry);

/* Sends VERDICT to all waiters.  */
void record_entry_reply (struct record *record, struct record_entry *entry,
                         enum msg_verdict verdict,
                         struct action_list *actions);

void record_entry_reply_recorded (struct record *record,
                                  struct record_entry *entry,
                                  const struct record_row *answer,
                                  const void *body, size_t length,
                                  struct action_list *actions);

void record_entry_reply_mismatch (struct record *record,
                                  struct record_entry *entry,
                                  uint64_t fingerprint,
                                  struct action_list *actions);

/* Writes a claim for the first waiter; VERSION is the expected version of the
   row, 0: absent.  Frees the entry if there is no waiter.  */
void record_entry_claim (struct record *record, struct record_entry *entry,
                         uint64_t version, struct timespec now);

/* Writes that the request did not run, which allows a new claim.  */
void record_entry_release (struct record *record, struct record_entry *entry,
                           struct timespec now);

/* Writes the outcome.  */
void record_entry_finish (struct record *record, struct record_entry *entry,
                          enum record_row_state state, struct timespec now);

/* Schedules a retry with exponential back-off.  */
void record_entry_retry (struct record *record, struct record_entry *entry,
                         struct timespec now);

/* Handles the row as read from the table; ROW is NULL when it is absent.
   May free the entry.  */
void record_entry_resolve (struct record *record, struct record_entry *entry,
                           const struct platform_row *row, struct timespec now,
                           struct action_list *actions);

/* Callback for struct batch_ops; USER is the struct record.  */
void record_entry_settled (void *user, struct batch_write *write, bool done,
                           const struct platform_row *row, struct timespec now,
                           struct action_list *actions);

#endif
