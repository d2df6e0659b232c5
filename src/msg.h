/* msg - messages between the traffic threads and the control thread.

   A message is allocated with msg_new, sent through a struct ring, and freed
   by its receiver with msg_free, strings included (all with g_malloc).  */

#ifndef PARSLEYRILL_MSG_H
#define PARSLEYRILL_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

enum msg_type
{
  /* traffic to control */
  MSG_REQUEST,           /* a request for a target came in */
  MSG_WAITING_INCREASED, /* requests wait for a target that is not ready */
  MSG_WAITING_DECREASED, /* fewer wait than before */
  MSG_ATTEMPT_SUCCEEDED, /* an attempt ended well */
  MSG_ATTEMPT_FAILED,    /* an attempt ended badly */
  MSG_RECORD_BEGIN,      /* may this request run? */
  MSG_RECORD_END,        /* its outcome */
  MSG_SUSPECT_BEGIN,     /* may this request, which has a strike, run? */
  MSG_SUSPECT_END,       /* the run that was granted is over */
  MSG_ADMIN,             /* a request that the control thread answers */
  /* control to traffic */
  MSG_ROUTES,          /* a new route table is published */
  MSG_RECORD_VERDICT,  /* answer to MSG_RECORD_BEGIN, with its key */
  MSG_SUSPECT_VERDICT, /* answer to MSG_SUSPECT_BEGIN: MSG_VERDICT_RUN or not
                        */
  MSG_ADMIN_RESPONSE,  /* answer to MSG_ADMIN */
  MSG_DRAIN            /* planned stop began */
};

enum msg_verdict
{
  MSG_VERDICT_RUN,          /* the record is ours: dispatch once */
  MSG_VERDICT_RECORDED,     /* status and body are the recorded answer */
  MSG_VERDICT_KEY_MISMATCH, /* the key was used with another body */
  MSG_VERDICT_OUTCOME_UNKNOWN,
  MSG_VERDICT_NOT_RUN /* the table cannot be asked: not run */
};

struct msg
{
  enum msg_type type;
  unsigned thread;  /* traffic thread concerned */
  uint64_t request; /* id of the request within that thread */
  char *target;     /* target or service name */
  char *engine;     /* MSG_ATTEMPT_SUCCEEDED, MSG_ATTEMPT_FAILED */
  unsigned count; /* MSG_WAITING_INCREASED: how many wait in this thread now */
  unsigned priority;
  struct timespec
      deadline; /* MSG_WAITING_INCREASED: the earliest; monotonic;
                   MSG_RECORD_VERDICT: MSG_VERDICT_RUN is good until */
  struct timespec first_token; /* MSG_ATTEMPT_SUCCEEDED: duration to it */
  struct timespec duration;    /* MSG_ATTEMPT_SUCCEEDED: of the attempt */
  bool cold;            /* MSG_ATTEMPT_SUCCEEDED: it had waited for a load */
  int error;            /* MSG_ATTEMPT_FAILED: negative errno */
  uint64_t fingerprint; /* of the request's content */
  char *key;            /* MSG_RECORD_*: idempotency key */
  enum msg_verdict verdict;
  bool ran;        /* MSG_RECORD_END: false when it surely did not run */
  unsigned status; /* HTTP status of an answer */
  char *content_type;
  char *method; /* MSG_ADMIN */
  char *path;   /* MSG_ADMIN: path and query */
  char *body;
  size_t length; /* of body, bytes */
};

struct msg *msg_new (enum msg_type type);
void msg_free (void *message); /* NULL allowed; fits ring_options.release */

#endif
