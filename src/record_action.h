/* record_action - the actions that record.h requests.

   Actions own their strings.  */

#ifndef PARSLEYRILL_RECORD_ACTION_H
#define PARSLEYRILL_RECORD_ACTION_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "batch.h"
#include "msg.h"

enum record_action_type
{
  RECORD_TXN, /* struct batch_action */
  RECORD_SCAN,
  RECORD_OBJECT_PUT,
  RECORD_OBJECT_GET,
  RECORD_OBJECT_DELETE,
  RECORD_VERDICT
};

/* Reads one row when PREFIX is a complete key and LIMIT is 1.  */
struct record_action_scan
{
  struct action action;
  char *prefix; /* must be returned with the result */
  size_t limit;
};

struct record_action_object
{
  struct action action;
  char *key;
  char *bytes; /* RECORD_OBJECT_PUT only */
  size_t length;
};

/* Response to record_begin.  On MSG_VERDICT_RUN dispatch once, before
   CLAIM_UNTIL (monotonic), then call record_end.  If CLAIM_UNTIL has
   passed, do not dispatch, and call record_end with RAN false.  */
struct record_action_verdict
{
  struct action action;
  unsigned thread;
  uint64_t request;
  enum msg_verdict verdict;
  struct timespec claim_until;
  unsigned status; /* MSG_VERDICT_RECORDED */
  char *content_type;
  char *body;
  size_t length;
};

void record_push_scan (struct action_list *actions, const char *prefix,
                       size_t limit);

/* The caller sets BYTES and LENGTH of the result.  */
struct record_action_object *record_push_object (struct action_list *actions,
                                                 enum record_action_type type,
                                                 const char *key);

/* The caller sets the other members of the result.  */
struct record_action_verdict *record_push_verdict (struct action_list *actions,
                                                   unsigned thread,
                                                   uint64_t request,
                                                   enum msg_verdict verdict);

#endif
