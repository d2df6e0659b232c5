/* confwatch - decides whether a node reads the configuration from the store or
   relies on the decider, which tells all nodes its version.

   The decider's word is as good as the decider's own knowledge, so it comes
   with the age of that.  A node that has no fresh word, or that was told of a
   newer version than it has, reads the store.

   Times are those of the loop's clock.  No I/O; one thread.  */

#ifndef PARSLEYRILL_CONFWATCH_H
#define PARSLEYRILL_CONFWATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Duration of a watch, and pause between two.  The duration also bounds the
   time until a stalled connection is noticed.  */
#define CONFWATCH_WAIT_MS 600
#define CONFWATCH_PAUSE_MS 100
/* Maximum age of the decider's word when it arrives in time: the decider
   renews its knowledge every CONFWATCH_WAIT_MS and CONFWATCH_PAUSE_MS.  The
   time that the word was on its way is not part of its age.  */
#define CONFWATCH_TTL_MS (CONFWATCH_WAIT_MS + CONFWATCH_PAUSE_MS + 300)
/* After a pause, a node that reaches the store hears from it within this time:
   a call that is silent is given up after WAIT_MS and some, then repeated.  */
#define CONFWATCH_WAKE_MS 1500
/* The duration at the nodes of a large fleet that do not decide: when the
   decider is gone, all of them watch.  */
#define CONFWATCH_WAIT_LARGE_MS 2500

/* All zero is the initial state.  */
struct confwatch
{
  /* When the store last had no version newer than those known here; zero:
     never.  */
  struct timespec known_at;
  uint64_t told_version;     /* that the decider has */
  struct timespec told_at;   /* the decider's known_at; zero: not told */
  struct timespec told_from; /* when TOLD_VERSION was told first */
};

/* When the store made a response that was read NOW, at the earliest if it is
   one without changes.  The call was sent at SENT_AT and may have waited for
   WAIT_MS.  A response that takes longer was delayed on its way, or not read
   while the node was paused.  */
struct timespec confwatch_made_at (struct timespec sent_at, int64_t wait_ms,
                                   struct timespec now);

/* The store's response made at MADE_AT was applied.  */
void confwatch_answered (struct confwatch *watch, struct timespec made_at);

/* The decider has VERSION, and its knowledge is AGE_MS old; 0: unknown.
   Returns whether VERSION is another one than before.  */
bool confwatch_told (struct confwatch *watch, uint64_t version, int64_t age_ms,
                     struct timespec now);

/* Forgets what the decider told.  */
void confwatch_forget (struct confwatch *watch);

/* Whether this node, which has VERSION, may leave the store alone.  PUSH_MS:
   how long it waits for a newer version that the decider sends.  */
bool confwatch_relies (const struct confwatch *watch, uint64_t version,
                       int64_t push_ms, struct timespec now);

/* Whether VERSION, which this node has, is the newest one that it was told of,
   and was the store's newest one at most WITHIN_MS ago.  */
bool confwatch_is_current (const struct confwatch *watch, uint64_t version,
                           int64_t within_ms, struct timespec now);

/* Whether VERSION, which this node has, must not be used for what a newer one
   may forbid: a newer one has been known of for half of WITHIN_MS, or the node
   has just gone on after a pause, at WOKE_AT (zero: none), and has heard
   nothing since that confirms VERSION.  While neither the store nor the
   decider can be reached, the last known version is used.  */
bool confwatch_is_outdated (const struct confwatch *watch, uint64_t version,
                            int64_t within_ms, struct timespec woke_at,
                            struct timespec now);

/* When the decider's word ends.  */
struct timespec confwatch_expires_at (const struct confwatch *watch);

/* Age of what this node knows from the store.  */
int64_t confwatch_age_ms (const struct confwatch *watch, struct timespec now);
/* Age of the decider's word; 0: unknown.  */
int64_t confwatch_told_age_ms (const struct confwatch *watch,
                               struct timespec now);

#endif
