/* record - idempotency records: over all nodes, a request with an idempotency
   key runs at most once.

   Before its only dispatch, a row record/HASH/TARGET/KEY is inserted if
   absent.  It holds the fingerprint of the request, the node that runs it and,
   later, the outcome; large responses are kept in the object store.  A further
   request with the key, on any node, receives the recorded response, waits for
   the running one, or is told that the outcome is unknown.  No node ever takes
   over the row of another: a row without an outcome keeps an unknown outcome
   until it is deleted.  Writes are combined into transactions.
   docs/design/records.md gives the reasons.

   A state machine without I/O on the control thread.  The caller carries out
   the actions through struct platform_ops and returns every result with the
   action's TOKEN or KEY.

   Ownership: arguments are borrowed for the call; actions own their
   contents.  */

#ifndef PARSLEYRILL_RECORD_H
#define PARSLEYRILL_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "platform.h"
#include "record_action.h"

#define RECORD_KEY_MAX 200     /* bytes of an idempotency key */
#define RECORD_INLINE_MAX 4096 /* bytes of a response stored in the row */
/* An owner that is not a member is considered lost once its row is older than
   this.  */
#define RECORD_OWNER_LOST_S 15
#define RECORD_PENDING_MAX 20000     /* records in progress at one node */
#define RECORD_BEGIN_TIMEOUT_MS 3000 /* for the claim; then "not run" */
#define RECORD_CLAIM_VALID_MS 5000   /* validity of MSG_VERDICT_RUN */
#define RECORD_POLL_MS 50 /* initial poll interval of a running record */
#define RECORD_POLL_MAX_MS 1000
#define RECORD_OBJECT_TIMEOUT_MS 60000  /* for storing a large response */
#define RECORD_RETENTION_S 86400        /* one day */
#define RECORD_CLEAN_ROWS 500           /* maximum rows per scan */
#define RECORD_CLEAN_INTERVAL_MS 1000   /* between scans, over all nodes */
#define RECORD_BUFFERED_MAX (16u << 20) /* bytes of unstored responses */

struct record;

struct record_options
{
  const char *node;      /* id of this node; copied */
  uint64_t start;        /* random number that identifies this process */
  struct timespec epoch; /* time of day (UTC) at monotonic time 0 */
};

struct record_request
{
  const char *key; /* as sent by the caller */
  const char *target;
  uint64_t fingerprint;
  unsigned thread;
  uint64_t request;
  struct timespec deadline;
};

struct record_outcome
{
  bool ran;      /* false: attempt_not_run; the key may be used again */
  bool complete; /* the response is complete; STATUS to LENGTH are recorded */
  unsigned status;
  const char *content_type;
  const void *body;
  size_t length;
};

struct record *record_new (const struct record_options *options);
void record_free (struct record *record);

/* Asks whether a request may run.  Produces exactly one RECORD_VERDICT, at
   its deadline at the latest.  */
void record_begin (struct record *record, const struct record_request *request,
                   struct timespec now, struct action_list *actions);

/* Reports the outcome of a request that received MSG_VERDICT_RUN.  */
void record_end (struct record *record, unsigned thread, uint64_t request,
                 const struct record_outcome *outcome, struct timespec now,
                 struct action_list *actions);

/* The caller of a request disconnected before its verdict: no verdict is
   produced.  */
void record_cancel (struct record *record, unsigned thread, uint64_t request,
                    struct timespec now, struct action_list *actions);

void record_txn_done (struct record *record, const char *token,
                      enum platform_status status,
                      const struct platform_rows *rows, struct timespec now,
                      struct action_list *actions);
void record_scan_done (struct record *record, const char *prefix,
                       enum platform_status status,
                       const struct platform_rows *rows, struct timespec now,
                       struct action_list *actions);
void record_object_done (struct record *record, enum record_action_type type,
                         const char *key, enum platform_status status,
                         const void *bytes, size_t length, struct timespec now,
                         struct action_list *actions);

/* Sets the number of nodes that share the cleanup.  */
void record_set_node_count (struct record *record, unsigned nodes);

/* Sets the members that are not known to be dead, including this node and
   leaving nodes.  A row owned by any other node has an unknown outcome.
   Until the first call, all nodes are assumed to be alive.  */
void record_set_members (struct record *record, const char *const *nodes,
                         size_t count);

void record_tick (struct record *record, struct timespec now,
                  struct action_list *actions);

/* Time at which record_tick is due.  */
struct timespec record_next (const struct record *record);

/* Number of records in progress at this node; a planned stop waits until
   it is 0.  */
unsigned record_pending (const struct record *record);

#endif
