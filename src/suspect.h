/* suspect - protection against requests that crash backend servers.

   A request is identified by its fingerprint.  Two rules bound the number of
   servers that it can crash, over all nodes:

   1. Without a strike a fingerprint may go only to the two replicas that
      suspect_pair designates for it by rendezvous hashing: the same two at
      every node, without any message.
   2. When a backend server crashes, every fingerprint that ran there gets a
      strike, which is sent to all nodes at once.  With one strike a request
      runs only under a grant of its home node, one per target at a time, on
      the less loaded of its replicas.  With two strikes it is refused.

   Completing without a crash under a grant clears the strike.  A single strike
   expires after SUSPECT_ONE_STRIKE_TTL_MS.  docs/design/suspects.md gives the
   reasons and the limits.

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

#define SUSPECT_GRANT_TTL_MS 60000  /* of a grant that is not released */
#define SUSPECT_GRANT_RETRY_MS 300  /* between requests for one grant */
#define SUSPECT_GRANT_QUEUE_MAX 256 /* requests for one target */

#define SUSPECT_NODE_MAX 64 /* bytes of a node's id, with terminator */

struct suspect;

enum suspect_action_type
{
  SUSPECT_SEND_STRIKE,   /* a strike or its removal; NODE "": to all peers */
  SUSPECT_REQUEST_GRANT, /* to the home node */
  SUSPECT_RELEASE_GRANT, /* to the home node: the granted run has ended */
  SUSPECT_ANSWER_GRANT,  /* to the requesting node: granted or refused */
  SUSPECT_VERDICT        /* to a traffic thread */
};

struct suspect_grant
{
  uint64_t fingerprint;
  uint64_t target; /* hash of its name */
  uint64_t number; /* unique at the requesting node */
};

struct suspect_action
{
  struct action action;
  char node[SUSPECT_NODE_MAX]; /* recipient */
  struct suspect_strike strike;
  struct suspect_grant grant;
  bool granted; /* SUSPECT_ANSWER_GRANT, SUSPECT_VERDICT */
  unsigned thread;
  uint64_t request;
};

struct suspect_options
{
  const char *node; /* id of this node; copied */
};

struct suspect *suspect_new (const struct suspect_options *options,
                             struct suspect_table *table);
void suspect_free (struct suspect *suspect);

/* Sets the live nodes, this one included, in any order.  */
void suspect_nodes (struct suspect *suspect, const char *const *nodes,
                    size_t count, struct timespec now,
                    struct action_list *actions);

/* ENGINE crashed or closed the connection while FINGERPRINT ran there.  */
void suspect_crash (struct suspect *suspect, uint64_t fingerprint,
                    const char *engine, struct timespec now,
                    struct action_list *actions);

/* Requests a grant for a request with one strike, for a traffic thread.  Leads
   to exactly one SUSPECT_VERDICT, by DEADLINE at the latest.  */
void suspect_request_grant (struct suspect *suspect, uint64_t fingerprint,
                            const char *target, unsigned thread,
                            uint64_t request, struct timespec deadline,
                            struct timespec now, struct action_list *actions);

/* The granted run has ended; after a crash call suspect_crash first.
   COMPLETE: the response was complete, which clears the strike.  */
void suspect_end (struct suspect *suspect, unsigned thread, uint64_t request,
                  bool complete, struct timespec now,
                  struct action_list *actions);

/* Messages from peers.  */
void suspect_strike_received (struct suspect *suspect,
                              const struct suspect_strike *strike,
                              struct timespec now);
void suspect_grant_requested (struct suspect *suspect, const char *peer,
                              const struct suspect_grant *grant,
                              struct timespec now,
                              struct action_list *actions);
void suspect_grant_released (struct suspect *suspect, const char *peer,
                             const struct suspect_grant *grant,
                             struct timespec now, struct action_list *actions);
void suspect_grant_answered (struct suspect *suspect,
                             const struct suspect_grant *grant, bool granted,
                             struct timespec now, struct action_list *actions);

/* Sends all known strikes to NODE, a peer that has connected.  */
void suspect_send_strikes (struct suspect *suspect, const char *node,
                           struct timespec now, struct action_list *actions);

void suspect_tick (struct suspect *suspect, struct timespec now,
                   struct action_list *actions);

/* When suspect_tick is due next.  */
struct timespec suspect_next (const struct suspect *suspect);

#endif
