/* record - at-most-once records: a request with an idempotency key runs once
   over all nodes, or not at all.

   A row record/HASH/NAME is inserted if absent before the only dispatch and
   holds the fingerprint, the node that runs it and, after it, the outcome;
   large answers lie in the object store.  A second arrival on any node gets
   the recorded answer, waits for the running one, or hears that the outcome
   is unknown.  Nothing ever takes a row over: one that was begun and never
   ended stays "unknown" until it is cleaned.  Writes are grouped, many rows
   a transaction.  docs/design/records.md gives the reasons.

   A state machine without I/O on the control thread.  The caller carries out
   the actions through struct platform_ops and hands every result back with
   the action's TOKEN or KEY.

   Ownership: arguments are borrowed for the call; actions own what they
   hold.  */

#ifndef PARSLEYRILL_RECORD_H
#define PARSLEYRILL_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "platform.h"
#include "record_action.h"

#define RECORD_KEY_MAX 200     /* bytes of an idempotency key */
#define RECORD_INLINE_MAX 4096 /* bytes of an answer kept in the row */
#define RECORD_GONE_S 15       /* age of a row from which its node is missed */
#define RECORD_LIVE_MAX 20000  /* records under way at one node */
#define RECORD_BEGIN_PATIENCE_MS 3000 /* for the table before "not run" */
#define RECORD_CLAIM_MS 5000 /* age at which MSG_VERDICT_RUN is void */
#define RECORD_POLL_MS 50    /* first wait before asking for a running one */
#define RECORD_POLL_MAX_MS 1000
#define RECORD_OBJECT_PATIENCE_MS 60000 /* for storing a large answer */
#define RECORD_RETENTION_S 86400        /* rows are kept for a day */
#define RECORD_CLEAN_ROWS 500           /* rows looked at in one step */
#define RECORD_CLEAN_MS                                                       \
  1000                              /* between steps, of all nodes            \
                                       together */
#define RECORD_HELD_MAX (16u << 20) /* bytes of answers not yet stored */

struct record;

struct record_options
{
  const char *node;      /* id of this node; copied */
  uint64_t start;        /* random, other at each start of the process */
  struct timespec epoch; /* time of day (UTC) when the monotonic clock was 0 */
};

struct record_request
{
  const char *key; /* as the caller gave it */
  const char *target;
  uint64_t fingerprint;
  unsigned thread;
  uint64_t request;
  struct timespec deadline;
};

struct record_outcome
{
  bool ran;   /* false: attempt_not_run held; the key is free again */
  bool whole; /* the answer is whole: STATUS to LENGTH are recorded */
  unsigned status;
  const char *content_type;
  const void *body;
  size_t length;
};

struct record *record_new (const struct record_options *options);
void record_free (struct record *record);

/* May this request run?  Ends with exactly one RECORD_VERDICT, at its
   deadline at the latest.  */
void record_begin (struct record *record, const struct record_request *request,
                   struct timespec now, struct action_list *actions);

/* The outcome of a request that was told MSG_VERDICT_RUN.  */
void record_end (struct record *record, unsigned thread, uint64_t request,
                 const struct record_outcome *outcome, struct timespec now,
                 struct action_list *actions);

/* The caller of a request without a verdict went away: no verdict comes.  */
void record_leave (struct record *record, unsigned thread, uint64_t request,
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

/* How many nodes share the cleaning.  */
void record_peers (struct record *record, unsigned nodes);

/* Every member that is not known to be dead, this node and leaving ones
   included: a row that runs at none of them has an unknown outcome.  Without
   this call all nodes are taken to live.  */
void record_nodes (struct record *record, const char *const *nodes,
                   size_t count);

void record_tick (struct record *record, struct timespec now,
                  struct action_list *actions);

/* When record_tick is due next.  */
struct timespec record_next (const struct record *record);

/* Records under way here; 0 lets a planned stop go on.  */
unsigned record_live (const struct record *record);

#endif
