/* record_action - what record.h wants done.

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

/* One row when PREFIX is a whole key, LIMIT 1.  */
struct record_action_scan
{
  struct action action;
  char *prefix; /* hand it back with the result */
  size_t limit;
};

struct record_action_object
{
  struct action action;
  char *key;
  char *bytes; /* RECORD_OBJECT_PUT only */
  size_t length;
};

/* The answer to record_begin.  MSG_VERDICT_RUN: dispatch once, before
   CLAIM_UNTIL (monotonic), then record_end; if the time has passed, do not
   dispatch and call record_end with RAN false.  */
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

/* BYTES and LENGTH of the result are the caller's to set.  */
struct record_action_object *record_push_object (struct action_list *actions,
                                                 enum record_action_type type,
                                                 const char *key);

/* The other members of the result are the caller's to set.  */
struct record_action_verdict *record_push_verdict (struct action_list *actions,
                                                   unsigned thread,
                                                   uint64_t request,
                                                   enum msg_verdict verdict);

#endif
