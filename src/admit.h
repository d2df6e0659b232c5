/* admit - admission control and the waiting queue of one traffic thread.

   Requests wait per target and priority, earliest deadline first.  One of
   every ADMIT_LOW_EVERY granted requests is the longest-waiting one of a lower
   priority, so that none starves.  A request is queued only if its estimated
   answer time lies within its deadline; otherwise it is refused at once.
   Limits apply per target and per team, so that an overloaded one does not
   affect the others.  When a limit is reached, an arriving request displaces
   the waiting one of the lowest priority if that is below its own.

   Every queued entry is returned exactly once: on a struct admit_list with its
   outcome set, or by admit_cancel.  The caller answers refused entries at
   once.

   Use by a traffic thread:

     switch (admit_offer (admit, &call->entry, &request, now, &ended))
       ADMIT_DISPATCH: dispatch; ADMIT_WAIT: nothing; ADMIT_REFUSED: answer;
     ... then process each entry of ENDED likewise by entry->outcome
     ... when an attempt of target T ended, or new routes were published:
     admit_release (admit, T, pick_free_slots (...), now, &ended);
     ... when the loop's timer, set to admit_next_deadline, fires:
     admit_expire (admit, now, &ended);

   Ownership: entries are embedded in the caller's request and are borrowed
   from admit_offer until they are returned; strings of a struct admit_request
   are borrowed for the call.  */

#ifndef PARSLEYRILL_ADMIT_H
#define PARSLEYRILL_ADMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <ck_queue.h>
#include <sys/queue.h>
#include "deadlines.h"

#define ADMIT_PRIORITIES 10
#define ADMIT_LOW_EVERY 8         /* grants per grant to a lower priority */
#define ADMIT_RETRY_AFTER_MIN_S 1 /* seconds */
#define ADMIT_RETRY_AFTER_MAX_S 60
#define ADMIT_TEAM_WAITING_MAX 256 /* default per node */
#define ADMIT_TARGET_WAITING_MAX 64
#define ADMIT_SLOTS_DEFAULT 8 /* assumed while no replica exists */

struct admit;
struct admit_queue;
struct admit_team;

enum admit_outcome
{
  ADMIT_DISPATCH, /* dispatch now */
  ADMIT_WAIT,     /* queued */
  ADMIT_REFUSED   /* answer the caller with an error now */
};

enum admit_reason
{
  ADMIT_NONE,
  ADMIT_TARGET_FULL, /* the target's queue is full */
  ADMIT_TEAM_FULL,   /* the team has too many waiting requests */
  ADMIT_TOO_LATE,    /* the estimated answer time is after the deadline */
  ADMIT_EXPIRED,     /* the deadline passed while waiting */
  ADMIT_DISPLACED    /* displaced by a request of higher priority */
};

struct admit_entry
{
  CK_STAILQ_ENTRY (admit_entry) ended; /* while on an admit_list */
  enum admit_outcome outcome;
  enum admit_reason reason;
  long retry_after_s; /* when outcome is ADMIT_REFUSED */
  struct timespec arrived;
  struct timespec deadline;
  struct timespec estimate; /* of the answer, computed on admission */
  unsigned priority;
  /* private to the module while the entry waits */
  TAILQ_ENTRY (admit_entry) by_deadline;
  TAILQ_ENTRY (admit_entry) by_arrival;
  TAILQ_ENTRY (admit_entry) by_team;
  struct admit_queue *queue;
  struct admit_team *team;
  struct deadlines_node due;
};

CK_STAILQ_HEAD (admit_list, admit_entry);

/* A request and the state of its target on arrival.  */
struct admit_request
{
  const char *target;
  const char *team;
  unsigned priority;        /* 0 to ADMIT_PRIORITIES - 1 */
  struct timespec deadline; /* of the answer */
  unsigned target_max;      /* waiting requests at this node; 0: the default */
  unsigned team_max;        /* likewise, for the team */
  bool ready;               /* a replica can take requests */
  struct timespec ready_at; /* estimate if READY is false; zero: unknown */
  double service_s;         /* mean service time of a request; 0: unknown */
  unsigned slots;           /* total of all replicas; 0: ADMIT_SLOTS_DEFAULT */
  unsigned slots_free;
};

struct admit_options
{
  unsigned threads; /* of the node; limits are divided by it */
};

struct admit *admit_new (const struct admit_options *options);

/* No request may be waiting.  */
void admit_free (struct admit *admit);

static inline void
admit_list_init (struct admit_list *list)
{
  CK_STAILQ_INIT (list);
}

/* Admits, queues or refuses a new request.  Entries that it displaces are
   appended to ENDED.  */
enum admit_outcome admit_offer (struct admit *admit, struct admit_entry *entry,
                                const struct admit_request *request,
                                struct timespec now, struct admit_list *ended);

/* Grants dispatch to at most FREE waiting requests of TARGET.  */
void admit_release (struct admit *admit, const char *target, unsigned free,
                    struct timespec now, struct admit_list *ended);

/* Like admit_release, but only for requests that MAY_DISPATCH accepts.  A
   request may be restricted to two replicas (suspect_pair.h), so the head
   of the queue may have to wait while a later request can be dispatched.
   MAY_DISPATCH does not see the load of requests that are on ENDED but not yet
   sent: with FREE 1, send the granted request before the next call.  */
void admit_release_if (struct admit *admit, const char *target, unsigned free,
                       bool (*may_dispatch) (void *user,
                                             const struct admit_entry *entry),
                       void *user, struct timespec now,
                       struct admit_list *ended);

/* Call when the state of a target changed: refuses waiting requests that
   can no longer be answered in time.  */
void admit_reevaluate (struct admit *admit,
                       const struct admit_request *request,
                       struct timespec now, struct admit_list *ended);

/* Refuses waiting requests whose deadline has passed.  */
void admit_expire (struct admit *admit, struct timespec now,
                   struct admit_list *ended);

/* Sets *AT to the earliest deadline of all waiting requests.  False when
   none waits.  */
bool admit_next_deadline (const struct admit *admit, struct timespec *at);

/* Removes ENTRY without an outcome, for example because the caller
   disconnected.  Does nothing when the entry is not waiting.  */
void admit_cancel (struct admit *admit, struct admit_entry *entry);

/* Number of requests waiting for TARGET, for MSG_WAITING_INCREASED.  EARLIEST
   receives their earliest deadline and may be NULL.  */
unsigned admit_waiting_count (const struct admit *admit, const char *target,
                              struct timespec *earliest);

const char *admit_reason_name (enum admit_reason reason);

#endif
