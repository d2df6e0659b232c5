/* admit - admission and the waiting queue of one traffic thread.

   Requests wait per target and priority, earliest deadline first; of
   ADMIT_LOW_EVERY requests that go, one is the longest waiting of a lower
   priority, so that none starves.  A request
   is taken in only when the estimate of its answer lies within its deadline,
   and refused at once otherwise.  Bounds hold per target and per team, so an
   overloaded one does not stop others.  Where a bound is reached, an arrival
   of higher priority takes the place of the lowest waiting one.

   Every entry that was taken in is given back exactly once, on a struct
   admit_list with its outcome set, or by admit_leave.  The caller answers at
   once what is given back as refused.

   Use by a traffic thread:

     switch (admit_offer (admit, &request->entry, &ask, now, &ended))
       ADMIT_DISPATCH: dispatch; ADMIT_WAIT: nothing; ADMIT_REFUSED: answer;
     ... then drain ENDED the same way by entry->outcome
     ... an attempt of target T ended, or new routes came:
     admit_release (admit, T, pick_free_slots (...), now, &ended);
     ... the loop's timer set to admit_next_deadline:
     admit_expire (admit, now, &ended);

   Ownership: entries are embedded in the caller's request and borrowed from
   admit_offer until they are given back; strings of a struct admit_request
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
#define ADMIT_LOW_EVERY 8
#define ADMIT_RETRY_AFTER_MIN_S 1 /* seconds */
#define ADMIT_RETRY_AFTER_MAX_S 60
#define ADMIT_TEAM_WAITING 256 /* a node, where the document gives none */
#define ADMIT_TARGET_WAITING 64
#define ADMIT_SLOTS_COLD 8 /* expected of a replica yet to come */

struct admit;
struct admit_queue;
struct admit_team;

enum admit_outcome
{
  ADMIT_DISPATCH, /* dispatch now */
  ADMIT_WAIT,     /* the queue holds it */
  ADMIT_REFUSED   /* give the final answer now */
};

enum admit_reason
{
  ADMIT_NONE,
  ADMIT_TARGET_FULL, /* too many wait for the target */
  ADMIT_TEAM_FULL,   /* too many of the team wait */
  ADMIT_TOO_LATE,    /* the estimate lies behind the deadline */
  ADMIT_EXPIRED,     /* the deadline came while waiting */
  ADMIT_DISPLACED    /* one of higher priority took the place */
};

struct admit_entry
{
  CK_STAILQ_ENTRY (admit_entry) ended; /* while on an admit_list */
  enum admit_outcome outcome;
  enum admit_reason reason;
  long retry_after_s; /* when outcome is ADMIT_REFUSED */
  struct timespec arrived;
  struct timespec deadline;
  struct timespec estimate; /* of the answer, when it was taken in */
  unsigned priority;
  /* owned by the module while waiting */
  TAILQ_ENTRY (admit_entry) by_deadline;
  TAILQ_ENTRY (admit_entry) by_arrival;
  TAILQ_ENTRY (admit_entry) by_team;
  struct admit_queue *queue;
  struct admit_team *team;
  struct deadlines_node due;
};

CK_STAILQ_HEAD (admit_list, admit_entry);

/* What is known of the target when the request comes in.  */
struct admit_request
{
  const char *target;
  const char *team;
  unsigned priority;        /* 0 to ADMIT_PRIORITIES - 1 */
  struct timespec deadline; /* of the answer */
  unsigned target_max;      /* waiting at this node; 0: the default */
  unsigned team_max;        /* likewise */
  bool ready;               /* a replica can take requests */
  struct timespec ready_at; /* otherwise: estimate; zero: not known */
  double service_s;         /* mean seconds of a request; 0: not known */
  unsigned slots;           /* over all replicas; 0: ADMIT_SLOTS_COLD */
  unsigned slots_free;
};

struct admit_options
{
  unsigned threads; /* traffic threads of the node; limits are divided */
};

struct admit *admit_new (const struct admit_options *options);

/* Nothing may be waiting.  */
void admit_free (struct admit *admit);

static inline void
admit_list_init (struct admit_list *list)
{
  CK_STAILQ_INIT (list);
}

/* A request arrives.  ENDED receives entries displaced by it.  */
enum admit_outcome admit_offer (struct admit *admit, struct admit_entry *entry,
                                const struct admit_request *request,
                                struct timespec now, struct admit_list *ended);

/* At most FREE waiting requests of TARGET may go now.  */
void admit_release (struct admit *admit, const char *target, unsigned free,
                    struct timespec now, struct admit_list *ended);

/* Likewise for those for which MAY_GO says that they can go now.  A request
   may use two replicas only (suspect_pair.h), so the first in the queue may
   have to stay while the next can go.  MAY_GO sees nothing of requests that
   are on ENDED and not yet sent: with FREE 1, send between two calls.  */
void
admit_release_if (struct admit *admit, const char *target, unsigned free,
                  bool (*may_go) (void *user, const struct admit_entry *entry),
                  void *user, struct timespec now, struct admit_list *ended);

/* What is known of a target changed: gives back as refused those that can no
   longer be answered in time.  */
void admit_reevaluate (struct admit *admit,
                       const struct admit_request *request,
                       struct timespec now, struct admit_list *ended);

/* Gives back those whose deadline has come.  */
void admit_expire (struct admit *admit, struct timespec now,
                   struct admit_list *ended);

/* The earliest deadline of all that wait.  False when none waits.  */
bool admit_next_deadline (const struct admit *admit, struct timespec *at);

/* The caller went away; nothing when the entry does not wait.  */
void admit_leave (struct admit *admit, struct admit_entry *entry);

/* How many wait for TARGET, for MSG_WAITING_INCREASED; EARLIEST may be NULL.
 */
unsigned admit_waiting_count (const struct admit *admit, const char *target,
                              struct timespec *earliest);

const char *admit_reason_name (enum admit_reason reason);

#endif
