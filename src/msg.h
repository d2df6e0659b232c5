/* msg - messages between the traffic threads and the control thread.

   A message is allocated with msg_new, sent through a struct ring, and freed
   by its receiver with msg_free, which also frees its strings (allocated with
   g_malloc).  */

#ifndef PARSLEYRILL_MSG_H
#define PARSLEYRILL_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

enum msg_type
{
  /* traffic to control */
  MSG_REQUEST,           /* a request for a target arrived */
  MSG_WAITING_INCREASED, /* more requests wait for a target not yet ready */
  MSG_WAITING_DECREASED, /* fewer requests wait than before */
  MSG_ATTEMPT_SUCCEEDED, /* an attempt at a backend server succeeded */
  MSG_ATTEMPT_FAILED,    /* an attempt at a backend server failed */
  MSG_RECORD_BEGIN,      /* asks whether this request may run */
  MSG_RECORD_END,        /* the outcome of that request */
  MSG_SUSPECT_BEGIN,     /* asks whether a request with a strike may run */
  MSG_SUSPECT_END,       /* the permitted run has ended */
  MSG_ADMIN,             /* a request that the control thread responds to */
  /* control to traffic */
  MSG_ROUTES,          /* a new route table is published */
  MSG_RECORD_VERDICT,  /* reply to MSG_RECORD_BEGIN, with its key */
  MSG_SUSPECT_VERDICT, /* reply to MSG_SUSPECT_BEGIN: MSG_VERDICT_RUN
                          or MSG_VERDICT_NOT_RUN */
  MSG_ADMIN_RESPONSE,  /* response to MSG_ADMIN */
  MSG_DRAIN            /* graceful shutdown started */
};

enum msg_verdict
{
  MSG_VERDICT_RUN,      /* the record is claimed: dispatch the request once */
  MSG_VERDICT_RECORDED, /* status and body are the recorded response */
  MSG_VERDICT_KEY_MISMATCH, /* the key was used with another body */
  MSG_VERDICT_OUTCOME_UNKNOWN,
  MSG_VERDICT_NOT_RUN /* the table is unavailable: not run */
};

struct msg
{
  enum msg_type type;
  unsigned thread;  /* traffic thread that sent it or receives it */
  uint64_t request; /* id of the request within that thread */
  char *target;     /* target or service name */
  char *engine;     /* MSG_ATTEMPT_SUCCEEDED, MSG_ATTEMPT_FAILED */
  unsigned count;   /* MSG_WAITING_*: requests waiting in this thread */
  unsigned priority;
  /* MSG_WAITING_INCREASED: the earliest deadline.  MSG_RECORD_VERDICT: until
     when MSG_VERDICT_RUN is valid.  Monotonic.  */
  struct timespec deadline;
  struct timespec first_token; /* MSG_ATTEMPT_SUCCEEDED: time to it */
  struct timespec duration;    /* MSG_ATTEMPT_SUCCEEDED: of the attempt */
  bool cold;            /* MSG_ATTEMPT_SUCCEEDED: it had to wait for a load */
  int error;            /* MSG_ATTEMPT_FAILED: negative errno */
  uint64_t fingerprint; /* of the request's content */
  char *key;            /* MSG_RECORD_*: idempotency key */
  enum msg_verdict verdict;
  /* MSG_RECORD_END, MSG_ATTEMPT_FAILED: false when the request certainly did
     not run.  MSG_SUSPECT_END: the response was complete.  */
  bool ran;
  unsigned status; /* HTTP status of a response */
  char *content_type;
  char *method; /* MSG_ADMIN */
  char *path;   /* MSG_ADMIN: path and query */
  char *body;
  size_t length; /* of body, bytes */
};

struct msg *msg_new (enum msg_type type);
void msg_free (void *message); /* may be NULL; suits ring_options.release */

#endif
