/* outage - tells whether entries of live servers may have lapsed because the
   store was not available.

   A server registers every heartbeat interval, and its entry lapses after
   three intervals without that.  So an entry can lapse for an outage only if
   that has lasted for two intervals.  Two outages are one if less than an
   interval is between them.

   Times are those of the loop's clock.  No I/O; one thread.  */

#ifndef PARSLEYRILL_OUTAGE_H
#define PARSLEYRILL_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* After an outage, live servers register again within this time.  */
#define OUTAGE_REREGISTRATION_MS 2500

/* All zero, except for HEARTBEAT_MS, is the initial state.  */
struct outage
{
  int64_t heartbeat_ms;
  struct timespec answered_at; /* last response of the store */
  struct timespec failed_at;   /* last call that failed; zero: none */
  struct timespec from;        /* last response before the outage */
  struct timespec to;          /* its end so far */
  struct timespec keep_until;  /* see outage_removal_time */
  bool lasting;
};

/* A call to the store failed, or the store responded.  */
void outage_failed (struct outage *outage, struct timespec now);
void outage_answered (struct outage *outage, struct timespec now);

/* The store lost entries for another reason; counts as a failed call.  */
void outage_entries_lost (struct outage *outage, struct timespec now);

/* When a server is to be removed whose entry is found missing NOW.  */
struct timespec outage_removal_time (const struct outage *outage,
                                     struct timespec now);

#endif
