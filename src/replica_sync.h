/* spread - the replicas of a cell, from its decider to the other nodes.

   The decider sends what changed since its last message, numbered in
   sequence; after a gap the receiver asks for everything.  A message of a
   decider with a lower fencing token than seen is stale.

   Pure: see action.h.  One thread.  Messages made are owned by the caller
   (peer_msg_clear).  */

#ifndef PARSLEYRILL_SPREAD_H
#define PARSLEYRILL_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "frame.h"

#define REPLICA_SYNC_LOAD_MS                                                  \
  500 /* a change of load alone is told this often */

struct replica_sender;
struct replica_receiver;

struct replica_sender *replica_sender_new (const char *cell, uint64_t fence);
void replica_sender_free (struct replica_sender *out);

/* REPLICAS is all that there is now; strings borrowed for the call.  Fills
   MSG with the changes, for all nodes.  A message without changes tells that
   the decider lives, and has the number of the one before.  */
void replica_sender_changes (struct replica_sender *out,
                             const struct peer_replica *replicas, size_t count,
                             struct timespec now, struct peer_msg *msg);

/* Fills MSG with all that was told so far, for a node that has a gap.  */
void replica_sender_full (const struct replica_sender *out,
                          struct peer_msg *msg);

enum replica_sync_result
{
  REPLICA_SYNC_APPLIED,
  REPLICA_SYNC_STALE, /* of an old decider, or seen before */
  REPLICA_SYNC_GAP    /* ask FROM for everything */
};

struct replica_receiver *replica_receiver_new (void);
void replica_receiver_free (struct replica_receiver *in);
enum replica_sync_result replica_receiver_apply (struct replica_receiver *in,
                                                 const char *from,
                                                 const struct peer_msg *msg,
                                                 struct timespec now);

/* The node that decides, as told; NULL: none heard of.  */
const char *replica_receiver_source (const struct replica_receiver *in);
uint64_t replica_receiver_fence (const struct replica_receiver *in);

/* When the last message was taken; zero: never.  */
struct timespec
replica_receiver_updated_at (const struct replica_receiver *in);

/* Calls FN for each replica; ready_ms counts from replica_receiver_updated_at.
 */
void replica_receiver_each (const struct replica_receiver *in,
                            void (*fn) (void *user,
                                        const struct peer_replica *replica),
                            void *user);

#endif
