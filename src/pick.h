/* pick - choice of a replica for one dispatch (load balancing).

   The load of a replica is its number of requests per slot: those of this node
   in flight now, plus those of other nodes as of the last report (reported
   running and queued, minus this node's own at that time).  The usable replica
   with the least load is chosen, after bonuses for a warm prefix cache, a
   loaded adapter and the same zone.  A bonus never selects a replica without a
   free slot while another has one (bounded load, after Mirrokni, Thorup and
   Zadimoghaddam, "Consistent Hashing with Bounded Loads").

   One struct pick per traffic thread.  Replicas are borrowed from the route
   table for the duration of a call.  */

#ifndef PARSLEYRILL_PICK_H
#define PARSLEYRILL_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "eject.h"
#include "log.h"
#include "route.h"

#define PICK_PREFIX_BYTES 1024 /* of a request body, forming its prefix */

struct pick;

struct pick_options
{
  const char *zone; /* of this node; copied */
  uint32_t seed;    /* for ties */
};

struct pick_request
{
  const struct route_replica *replicas;
  size_t count;
  const char *const *tried; /* engine ids already tried; may be NULL */
  size_t tried_count;
  struct eject *eject; /* NULL: no replica is ejected */
  uint64_t prefix;     /* pick_prefix; 0: none */
  /* suspect_fingerprint: only the two replicas that suspect_pair designates
     for it may be used; 0: all may.  */
  uint64_t fingerprint;
  uint64_t lost; /* suspect_strikes: last server that crashed; 0: none */
  bool adapter;  /* the target is an adapter */
  bool suspect;  /* it has a strike: chosen by load alone, without bonuses */
};

enum pick_reason
{
  PICK_ONLY,    /* the only usable replica */
  PICK_LOAD,    /* least loaded */
  PICK_PREFIX,  /* warm prefix cache */
  PICK_ADAPTER, /* adapter already loaded */
  PICK_ZONE,    /* same zone */
  PICK_NONE     /* no usable replica */
};

struct pick_explanation
{
  enum pick_reason reason;
  double load;         /* of the chosen replica, requests per slot */
  double least;        /* of all usable replicas */
  double prefix_trust; /* 0 to 1 */
  bool same_zone;
  bool adapter_loaded;
  bool free_slot;   /* the chosen replica has one */
  unsigned usable;  /* number of usable replicas */
  unsigned leaving; /* numbers of excluded ones, by cause */
  unsigned ejected;
  unsigned tried;
  unsigned undesignated; /* by suspect_pair */
};

struct pick *pick_new (const struct pick_options *options);
void pick_free (struct pick *pick);

/* The index of the replica to use, or -1 with WHY->reason PICK_NONE.  The
   caller counts engine->inflight.  When WHY->free_slot is false the request
   should wait in admit.h.  */
ptrdiff_t pick_replica (struct pick *pick, const struct pick_request *request,
                        struct timespec now, struct pick_explanation *why);

/* Whether the request is sent to the chosen replica, to be queued there if no
   slot is free.  MODELS: the replica serves models.  */
bool pick_may_send (const struct pick_explanation *why, bool models);

/* Load of REPLICA in requests, with this node's own share counted now.  */
unsigned pick_load (const struct route_replica *replica);

/* Free slots over all replicas that may get new work, for admit.h.  */
unsigned pick_free_slots (const struct route_replica *replicas, size_t count);

/* All slots of replicas that may get new work.  */
unsigned pick_slots (const struct route_replica *replicas, size_t count);

/* Identity of the first PICK_PREFIX_BYTES of a request body; never 0 unless
   LENGTH is 0.  */
uint64_t pick_prefix (const char *target, const void *body, size_t length);

/* A hint that ENGINE has (PRESENT) or has evicted PREFIX as of AT: from a
   successful dispatch of this thread or a cache event.  Late and repeated
   hints are allowed; an older one never overrides a newer one.  */
void pick_hint (struct pick *pick, const char *engine, uint64_t prefix,
                bool present, struct timespec at);

/* Cache events of ENGINE were missed: hints up to AT lose half their trust. */
void pick_gap (struct pick *pick, const char *engine, struct timespec at);

const char *pick_reason_name (enum pick_reason reason);

/* Adds WHY to an open log line.  */
void pick_log (const struct pick_explanation *why, struct log_line *line);

#endif
