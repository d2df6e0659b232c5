/* pick - choice of a replica for one dispatch (load balancing).

   The load of a replica is its number of requests per slot: those of this node
   in flight now, plus those of other nodes as of the server's last report
   (running and queued, minus this node's own at that time).  The usable
   replica with the least load is chosen, after bonuses for a warm prefix
   cache, a loaded adapter and the same zone.  A bonus never selects a replica
   without a free slot while another has one (bounded load, after Mirrokni,
   Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads").

   For requests to models (BY_DELAY) the replica with the least estimated delay
   is chosen instead, see delay.h.  A prefix counts as cached at a replica that
   it was dispatched to before, and at its home replica, which all nodes derive
   from the hash of the prefix without exchanging messages: in a large fleet a
   node sees too few requests to know where a prefix is.

   If one of the usable replicas tells its pace (pace.h), the estimates are
   those of delay_estimate, at that pace, and the choice is random within a
   margin, see spread.h: the cost of a replica is the time until the first
   event, more where that is late, the events will pause or the stream will not
   end before its deadline, and the time that the request takes there from
   others.  A prefix that draws so many
   requests to its home that they wait there for longer than its cache saves
   has a second home, and so on.

   Reading a long prompt delays the tokens of all requests that run beside it.
   So a share of the replicas of a target, the quiet ones, is preferred for
   requests with short prompts and avoided for the others; all nodes derive
   them from the hash of the target.

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
  bool by_delay;       /* choose the least delay, not the least load */
  double prefix_s;     /* BY_DELAY: time that a cached prefix saves */
  uint64_t target;     /* BY_DELAY: hash of the target */
  bool short_prompt;   /* BY_DELAY: the engine reads it in one piece */
  /* BY_DELAY, for replicas that tell their pace.  */
  double read_s;      /* to read the whole prompt, at the usual pace */
  double objective_s; /* until the first event */
  double gap_s;       /* see struct delay_need */
  double events;
  double event_tokens;
  double left_s;
  size_t nodes; /* that send to these replicas; at least 1 */
  /* suspect_fingerprint: only the two replicas that suspect_pair designates
     for it may be used; 0: all may.  */
  uint64_t fingerprint;
  uint64_t lost; /* hash of the last server that crashed while running the
                    request, see suspect_strikes; 0: none */
  bool adapter;  /* the target is an adapter */
  bool suspect;  /* the request has a strike: chosen by load alone */
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
  double delay_s;      /* BY_DELAY: of the chosen replica */
  bool paced;          /* some usable replica tells its pace; then also: */
  double pace;         /* of the chosen replica, 1 if it tells none */
  double told_s;       /* DELAY_S without the correction by observations */
  double event_told_s; /* the same of the time from event to event */
  double event_s;      /* from event to event; 0: no stream */
  double stream_s;     /* from the first event to the last */
  double wait_s;       /* of DELAY_S, before its prompt is read */
  double late_s;       /* expected excess of DELAY_S over the objective */
  double prefix_trust; /* 0 to 1 */
  bool same_zone;
  bool adapter_loaded;
  bool free_slot;   /* the chosen replica has one */
  unsigned usable;  /* number of usable replicas */
  unsigned leaving; /* numbers of excluded replicas, by cause */
  unsigned ejected;
  unsigned tried;
  unsigned undesignated; /* not designated by suspect_pair */
};

struct pick *pick_new (const struct pick_options *options);
void pick_free (struct pick *pick);

/* The index of the replica to use, or -1 with WHY->reason PICK_NONE.  The
   caller counts engine->inflight.  When WHY->free_slot is false the request
   should wait in the admission queue (admit.h).  */
ptrdiff_t pick_replica (struct pick *pick, const struct pick_request *request,
                        struct timespec now, struct pick_explanation *why);

/* Whether the request may be sent to the chosen replica, which queues it if it
   has no free slot.  MODELS: the replica serves models.  */
bool pick_may_send (const struct pick_explanation *why, bool models);

/* Load of REPLICA in requests, with this node's own share counted now.  */
unsigned pick_load (const struct route_replica *replica);

/* Free slots of all replicas that accept new requests, for admit_release.  */
unsigned pick_free_slots (const struct route_replica *replicas, size_t count);

/* Slots of all replicas that accept new requests.  */
unsigned pick_slots (const struct route_replica *replicas, size_t count);

/* Hash of TARGET and the first PICK_PREFIX_BYTES of a request body; never 0
   unless LENGTH is 0.  */
uint64_t pick_prefix (const char *target, const void *body, size_t length);

/* A hint that ENGINE has (PRESENT) or has evicted PREFIX as of AT: from a
   successful dispatch of this thread or a cache event.  Late and repeated
   hints are allowed; an older one never overrides a newer one.  */
void pick_hint (struct pick *pick, const char *engine, uint64_t prefix,
                bool present, struct timespec at);

/* The same from a response of ENGINE, whose start is known.  */
void pick_cached (struct pick *pick, const struct route_engine *engine,
                  uint64_t prefix, struct timespec at);

/* This thread sent ENGINE a prompt of TOKENS, of which it has likely CACHED;
   the others may evict parts of other prompts.  */
void pick_sent (struct pick *pick, const char *engine, uint64_t tokens,
                uint64_t cached, struct timespec now);

/* Cache events of ENGINE were missed: hints up to AT are trusted half as
   much.  */
void pick_gap (struct pick *pick, const char *engine, struct timespec at);

const char *pick_reason_name (enum pick_reason reason);

/* Adds WHY to an open log line.  */
void pick_log (const struct pick_explanation *why, struct log_line *line);

#endif
