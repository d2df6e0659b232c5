/* admit_estimate - estimates when a waiting request will be answered.

   Internal to admit.h: its queue structures and the arithmetic on them.  */

#ifndef PARSLEYRILL_ADMIT_ESTIMATE_H
#define PARSLEYRILL_ADMIT_ESTIMATE_H

#include <glib.h>
#include "admit.h"

TAILQ_HEAD (admit_entry_list, admit_entry);

struct admit_level
{
  struct admit_entry_list by_deadline;
  struct admit_entry_list by_arrival;
  unsigned waiting;
};

struct admit_queue
{
  char *target;
  unsigned waiting;
  unsigned grants_since_low; /* grants since the last one to a lower level */
  struct admit_level levels[ADMIT_PRIORITIES];
  double service_s;
  double grant_interval_s;      /* moving average; 0: unknown */
  struct timespec last_release; /* latest grant; zero: none to measure from */
};

struct admit_team
{
  char *name;
  unsigned waiting;
  struct admit_entry_list levels[ADMIT_PRIORITIES];
};

struct admit
{
  unsigned threads;
  GHashTable *queues; /* target -> struct admit_queue; holds no empty queue */
  GHashTable *teams;  /* name -> struct admit_team; holds no empty team */
  struct deadlines deadlines;
};

/* Number of requests in QUEUE that would be dispatched before a request
   with PRIORITY and DEADLINE.  QUEUE may be NULL.  */
unsigned admit_estimate_ahead (const struct admit_queue *queue,
                               unsigned priority, struct timespec deadline);

/* Estimated completion time of a request that has N others ahead of it.
   QUEUE may be NULL.  */
struct timespec admit_estimate_answer (const struct admit_queue *queue,
                                       const struct admit_request *request,
                                       unsigned n, struct timespec now);

/* Rounds WAIT_S up to a Retry-After value within the permitted range.  */
long admit_estimate_retry_seconds (double wait_s);

/* Retry-After value: the time until all requests that wait now have been
   dispatched.  */
long admit_estimate_retry_after (const struct admit_queue *queue,
                                 const struct admit_request *request,
                                 struct timespec now);

/* Updates the grant interval after GRANTED requests of QUEUE were granted
   at NOW.  */
void admit_estimate_update (struct admit_queue *queue, unsigned granted,
                            struct timespec now);

/* Whether ENTRY would miss its deadline even if dispatched at NOW.  */
bool admit_estimate_too_late (const struct admit_entry *entry,
                              double service_s, struct timespec now);

#endif
