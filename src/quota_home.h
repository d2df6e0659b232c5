/* quota_home - the bucket from which a home issues its part of a customer's
   quota, see quota.h.

   The bucket starts empty.  A request may be larger than the burst of the
   part: it is issued when the bucket is full, or, where the bounds allow it,
   not in debt.  The debt is at most one request.

   A part that belongs to less than half of the nodes is issued in slots: one
   request at a time, at the times that follow from the rate, and what is not
   used at its time is lost.  Otherwise every node of a fleet that falls apart
   would issue a burst of its own.

   No I/O; one thread.  */

#ifndef PARSLEYRILL_QUOTA_HOME_H
#define PARSLEYRILL_QUOTA_HOME_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A home that was not run for so long may have been replaced meanwhile: it
   starts again.  */
#define QUOTA_PAUSE_MS 2000
/* Nothing is issued for so long by a node that becomes a home.  */
#define QUOTA_HOLD_MS 1000
/* How long a slot is open.  */
#define QUOTA_SLOT_MS 250
#define QUOTA_PROMISE_MAX_MS 10000 /* latest time that is told */

/* How long ago an amount may have been issued that is returned.  */
#define QUOTA_HISTORY_STEP_MS 10
#define QUOTA_HISTORY_STEPS 1024

struct quota_part
{
  double per_s;
  double burst;
  double unit;  /* usual size of a request */
  bool owes;    /* requests may leave a debt */
  bool slots;   /* issued in slots */
  double phase; /* of the slots, from 0 to 1 */
};

struct quota_bucket
{
  struct quota_part part;
  struct timespec started_at;
  struct timespec ready_at; /* nothing is issued before */
  struct timespec filled_at;
  double level;
  struct timespec next;     /* slot */
  struct timespec promised; /* told up to here */
  /* The highest level in each step of the past; STEP is the current one.  */
  int64_t step;
  double highest[QUOTA_HISTORY_STEPS];
};

/* Empties BUCKET, which issues nothing before READY_AT.  */
void quota_bucket_start (struct quota_bucket *bucket, struct timespec ready_at,
                         struct timespec now);

/* Fills BUCKET for the time up to NOW and goes on with PART.  */
void quota_bucket_set (struct quota_bucket *bucket,
                       const struct quota_part *part, struct timespec now);

/* Issues NEED, or sets *READY_MS to the time until something may be issued. */
bool quota_bucket_issue (struct quota_bucket *bucket, double need,
                         struct timespec now, int64_t *ready_ms);

/* Issues up to WANT that nobody waits for.  Returns how much.  */
double quota_bucket_issue_extra (struct quota_bucket *bucket, double want,
                                 struct timespec now);

/* When a refused request of size NEED should be sent again, READY_MS or more
   from now; another time for each.  */
int64_t quota_bucket_promise (struct quota_bucket *bucket, double need,
                              int64_t ready_ms, struct timespec now);

/* AMOUNT, which was issued at ISSUED_AT or later, was not used.  The level
   becomes what it would be if it had not been issued.  */
void quota_bucket_give_back (struct quota_bucket *bucket, double amount,
                             struct timespec issued_at, struct timespec now);

#endif
