/* suspect - requests after which backend servers die.

   A request is known by its fingerprint.  Two rules bound what it can cost,
   over all nodes:

   1. Without a strike a fingerprint may go only to the two replicas that
      suspect_pair designates for it by rendezvous hashing: the same two at
      every node, without a message.
   2. A backend server that dies takes a strike to every fingerprint that ran
      there; strikes go to all nodes at once.  With one strike a request runs
      only with a grant of its home node, one per target at a time, on the
      less loaded of its replicas.  With two it is refused.

   An end without a crash under a grant clears the strike; strikes fade after
   SUSPECT_ONE_STRIKE_TTL_MS.  docs/design/suspects.md gives the reasons and
   what is not covered.

   struct suspect is a state machine on the control thread.  Traffic threads
   read struct suspect_table, which may be read from any thread.  */

#ifndef PARSLEYRILL_SUSPECT_H
#define PARSLEYRILL_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "suspect_strike_set.h"
#include "suspect_pair.h"

#define SUSPECT_PAIR_MAX 2          /* replicas open to one fingerprint */
#define SUSPECT_GRANT_TTL_MS 60000  /* a grant not ended by its holder */
#define SUSPECT_GRANT_RETRY_MS 300  /* until the home node is asked again */
#define SUSPECT_GRANT_QUEUE_MAX 256 /* asking at one home node */

#define SUSPECT_NODE_MAX 64 /* bytes of a node's id, its end included */

struct suspect;

enum suspect_action_type
{
  SUSPECT_SEND_STRIKE, /* a strike or a clearing, to NODE, "": to every peer */
  SUSPECT_REQUEST_GRANT, /* to node HOME: may it run? */
  SUSPECT_RELEASE_GRANT, /* to node HOME: the grant's run ended */
  SUSPECT_ANSWER_GRANT,  /* to node PEER: granted, or refused */
  SUSPECT_VERDICT        /* to a traffic thread */
};

struct suspect_grant
{
  uint64_t fingerprint;
  uint64_t target; /* hash of its name */
  uint64_t number; /* of the asking node, never used again by it */
};

struct suspect_action
{
  struct action action;
  char node[SUSPECT_NODE_MAX]; /* to whom */
  struct suspect_strike strike;
  struct suspect_grant ask;
  bool granted; /* SUSPECT_ANSWER_GRANT, SUSPECT_VERDICT */
  unsigned thread;
  uint64_t request;
};

struct suspect_options
{
  const char *node; /* id of this node; copied */
};

struct suspect *suspect_new (const struct suspect_options *options,
                             struct suspect_table *board);
void suspect_free (struct suspect *suspect);

/* Live nodes, this one included; sorted or not.  */
void suspect_nodes (struct suspect *suspect, const char *const *nodes,
                    size_t count, struct timespec now,
                    struct action_list *actions);

/* ENGINE died or cut the connection while FINGERPRINT ran there.  */
void suspect_crash (struct suspect *suspect, uint64_t fingerprint,
                    const char *engine, struct timespec now,
                    struct action_list *actions);

/* A traffic thread asks for a request with one strike.  Ends with exactly
   one SUSPECT_VERDICT, by DEADLINE at the latest.  */
void suspect_request_grant (struct suspect *suspect, uint64_t fingerprint,
                            const char *target, unsigned thread,
                            uint64_t request, struct timespec deadline,
                            struct timespec now, struct action_list *actions);

/* The run that was granted is over; CRASHED as in suspect_crash, which is
   called before it.  WHOLE: a whole answer came, which clears.  */
void suspect_end (struct suspect *suspect, unsigned thread, uint64_t request,
                  bool whole, struct timespec now,
                  struct action_list *actions);

/* From peers.  */
void suspect_strike_received (struct suspect *suspect,
                              const struct suspect_strike *strike,
                              struct timespec now);
void suspect_grant_requested (struct suspect *suspect, const char *peer,
                              const struct suspect_grant *ask,
                              struct timespec now,
                              struct action_list *actions);
void suspect_grant_released (struct suspect *suspect, const char *peer,
                             const struct suspect_grant *ask,
                             struct timespec now, struct action_list *actions);
void suspect_grant_answered (struct suspect *suspect,
                             const struct suspect_grant *ask, bool granted,
                             struct timespec now, struct action_list *actions);

/* Every strike known, as SUSPECT_SEND_STRIKE to NODE: for a peer that
 * connects.  */
void suspect_send_strikes (struct suspect *suspect, const char *node,
                           struct timespec now, struct action_list *actions);

void suspect_tick (struct suspect *suspect, struct timespec now,
                   struct action_list *actions);

/* When suspect_tick is due next.  */
struct timespec suspect_next (const struct suspect *suspect);

#endif
