/* blame - finds out what requests had in common that were running on backend
   servers when these crashed.

   A request is known by its features: its fingerprint, what is left of it
   without its query, and the parts that its prompt shares with others.  A
   feature that crashes servers is found in the requests of each crash and is
   never answered, while sound features of the same requests are answered
   elsewhere.

   A crash is a reason to blame a feature only if
   - the server has not answered a later request since (then only a connection
     broke), for BLAME_CONFIRM_MS;
   - the feature has not been answered since; and
   - no feature that was blamed before explains it.
   A request is blamed for BLAME_REQUEST_CRASHES.
   A part of a prompt is blamed only when different requests crashed with it.
   One that was never answered is blamed for crashes at BLAME_MOMENTS different
   moments, and any part for BLAME_CRASHES.  Crashes within BLAME_SAME_CAUSE_MS
   are one moment, since they may be the network's doing, unless one request
   went on from the first server to the next.

   Does no I/O.  One thread.  Copies what it is given.  */

#ifndef PARSLEYRILL_BLAME_H
#define PARSLEYRILL_BLAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define BLAME_REQUEST_CRASHES 3 /* see above */
#define BLAME_MOMENTS 3
#define BLAME_CRASHES 5
#define BLAME_CONFIRM_MS 1000    /* until a crash counts */
#define BLAME_SAME_CAUSE_MS 50   /* see above */
#define BLAME_SAME_CRASH_MS 5000 /* reports on one server are one crash */
#define BLAME_MEMORY_MS 600000   /* crashes and answers are remembered */
#define BLAME_CRASHES_MAX 256    /* remembered */
#define BLAME_REQUESTS_MAX 64    /* remembered of one crash */
#define BLAME_FEATURES_MAX 64    /* of one request */
#define BLAME_ANSWERED_MAX 65536 /* features remembered as answered */
/* An answer is not told to the other nodes if they know one that was at most
   so much earlier.  */
#define BLAME_TELL_MS 10000

/* Features of a request, none of them 0: first its fingerprint, then the
   others, here all called parts, from the most common to the rarest.  */
struct blame_request
{
  const uint64_t *features;
  size_t count;
};

struct blame;

struct blame *blame_new (void);
void blame_free (struct blame *blame);

/* ENGINE, the hash of a server's id, crashed AT while REQUEST ran there and
   had not been answered.  Returns false if that was known.  */
bool blame_crash (struct blame *blame, uint64_t engine,
                  const struct blame_request *request, struct timespec at);

/* ENGINE responded at NOW to a request that was sent at SENT_AT.  Returns true
   if this shows that an assumed crash was none.  */
bool blame_alive (struct blame *blame, uint64_t engine,
                  struct timespec sent_at, struct timespec now);

/* A request with FEATURE was answered AT.  TOLD: all nodes know.  */
void blame_answered (struct blame *blame, uint64_t feature, struct timespec at,
                     bool told);

/* Whether FEATURE was in some crash.  */
bool blame_suspects (const struct blame *blame, uint64_t feature);

/* Whether the other nodes have to learn when FEATURE was answered; if so they
   count as told.  blame_tell_absolved: only if it was answered after a crash,
   and they know of no answer since.  blame_tell: also if they may not know
   that it was answered at all, or only long before.  */
bool blame_tell_absolved (struct blame *blame, uint64_t feature);
bool blame_tell (struct blame *blame, uint64_t feature);

/* When FEATURE was answered last; zero: not within BLAME_MEMORY_MS.  */
struct timespec blame_answered_at (const struct blame *blame,
                                   uint64_t feature);

/* The feature to blame, or 0.  BLAMED tells which ones were blamed before.  */
uint64_t blame_find (struct blame *blame,
                     bool (*blamed) (void *user, uint64_t feature), void *user,
                     struct timespec now);

/* Forgets the crashes that had FEATURE: it is sound again.  */
void blame_forgive (struct blame *blame, uint64_t feature);

/* Number of crashes since SINCE.  */
size_t blame_crashes (const struct blame *blame, struct timespec since);

/* When the next crash is confirmed; zero: all are.  */
struct timespec blame_next (const struct blame *blame, struct timespec now);

/* Calls EACH for every request of every crash.  */
void blame_each (const struct blame *blame,
                 void (*each) (void *user, uint64_t engine,
                               const struct blame_request *request,
                               struct timespec at),
                 void *user);

/* Forgets what is older than BLAME_MEMORY_MS.  */
void blame_expire (struct blame *blame, struct timespec now);

#endif
