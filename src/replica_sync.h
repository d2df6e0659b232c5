/* replica_sync - replicates the replica list of a cell from its leaseholder
   to the other nodes.

   A replica is a model or adapter on an engine.  The leaseholder sends
   increments with sequence numbers; after a gap the receiver requests the full
   list.  A message with a lower fencing token than the highest one seen is
   stale.

   A state machine without I/O, not thread-safe.  The caller owns the messages
   (peer_msg_clear).  */

#ifndef PARSLEYRILL_REPLICA_SYNC_H
#define PARSLEYRILL_REPLICA_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "frame.h"

/* Minimum interval between two updates of a replica that change only its
   load.  */
#define REPLICA_SYNC_LOAD_MS 500
/* A change of the estimated ready time by less than this is not sent.  */
#define REPLICA_SYNC_READY_MS 100

struct replica_sender;
struct replica_receiver;

struct replica_sender *replica_sender_new (const char *cell, uint64_t fence);
void replica_sender_free (struct replica_sender *sender);

/* REPLICAS is the complete current list; its strings are borrowed for the
   call.  Fills MSG with the changes since the last call, for all nodes; the
   first message with a replica is a full list.  A message without changes is a
   heartbeat and repeats the last sequence number.  */
void replica_sender_changes (struct replica_sender *sender,
                             const struct peer_replica *replicas, size_t count,
                             struct timespec now, struct peer_msg *msg);

/* Fills MSG with the full list as sent so far, for a node with a gap.  */
void replica_sender_full (const struct replica_sender *sender,
                          struct timespec now, struct peer_msg *msg);

enum replica_sync_result
{
  REPLICA_SYNC_APPLIED,
  REPLICA_SYNC_STALE, /* from a former leaseholder, or received before */
  REPLICA_SYNC_GAP    /* request the full list */
};

struct replica_receiver *replica_receiver_new (void);
void replica_receiver_free (struct replica_receiver *receiver);

/* Applies MSG, which the leaseholder FROM sent, directly or through a relay.
   Copies may arrive more than once.  */
enum replica_sync_result
replica_receiver_apply (struct replica_receiver *receiver, const char *from,
                        const struct peer_msg *msg, struct timespec now);

/* The node whose messages are applied; NULL: none yet.  */
const char *replica_receiver_source (const struct replica_receiver *receiver);
uint64_t replica_receiver_fence (const struct replica_receiver *receiver);

/* When the last message without an outdated fencing token arrived; zero:
   never.  */
struct timespec
replica_receiver_updated_at (const struct replica_receiver *receiver);

/* Fills MSG with the full list as received so far, for another node with a
   gap, so that not all of them have to ask the leaseholder.  False if this
   node has a gap itself.  */
bool replica_receiver_full (const struct replica_receiver *receiver,
                            const char *cell, struct timespec now,
                            struct peer_msg *msg);

/* Calls FN for each replica; ready_ms counts from
   replica_receiver_updated_at.  */
void replica_receiver_each (const struct replica_receiver *receiver,
                            void (*fn) (void *user,
                                        const struct peer_replica *replica),
                            void *user);

#endif
