/* ratelimit - shares the request rates that backend servers name for all nodes
   together.

   For each server one node is the home of its limit, see homes.h.  The others
   ask it for a ticket for each request.  It issues tickets at the named rate
   in the order of the asks, some of them for a later time, so that requests
   queue, and rejects an ask whose time would come too late.

   Nodes may be cut off from each other without knowing whether the others are
   alive.  A home therefore issues only the parts of the nodes that it has
   links to, one N-th each, and a node without a link to the home, or a reply,
   uses its own part.

   The latest statement of a server holds: nodes tell each other of changes.

   A state machine without I/O; one thread.  */

#ifndef PARSLEYRILL_RATELIMIT_H
#define PARSLEYRILL_RATELIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "homes.h"

/* Longest time until a ticket is valid.  A node that becomes a home issues
   none for so long, as those of the former home may still be used.  */
#define RATELIMIT_WAIT_MAX_MS 1000
#define RATELIMIT_TICKET_MS 1000   /* an unused ticket lapses after its time */
#define RATELIMIT_REPLY_MS 250     /* until the home counts as silent */
#define RATELIMIT_SILENT_MS 1000   /* for so long */
#define RATELIMIT_RETRY_MS 100     /* until a lapsed ticket is replaced */
#define RATELIMIT_MEMORY_MS 600000 /* a limit that nobody hears lapses */
/* A server with a lower limit would not be heard to lift it.  */
#define RATELIMIT_MIN_PER_S (1.0 / 30)
#define RATELIMIT_UNITS 1000.0 /* of a rate, in messages */

struct ratelimit;

enum ratelimit_action_type
{
  RATELIMIT_SEND_NAMED, /* SERVER named PER_S, AGE_MS ago */
  RATELIMIT_SEND_ASK,   /* the same, and ASK wants a ticket for a time within
                           WAIT_MS */
  RATELIMIT_SEND_REPLY, /* ASK gets a ticket for the time in WAIT_MS, or is
                           REJECTED until then */
  RATELIMIT_READY       /* some request that waits may go on */
};

/* NODE: recipient, "" for all; of the RATELIMIT_SEND_* actions.  */
struct ratelimit_action
{
  struct action action;
  char node[64];
  char server[128];
  double per_s; /* 0: none */
  int64_t age_ms;
  uint64_t ask;
  int64_t wait_ms;
  bool rejected;
};

enum ratelimit_state
{
  RATELIMIT_NONE,    /* no limit */
  RATELIMIT_OPEN,    /* there is a ticket */
  RATELIMIT_WAITING, /* for a ticket */
  RATELIMIT_REJECTED
};

struct ratelimit_verdict
{
  enum ratelimit_state state;
  /* RATELIMIT_WAITING: time until the next ticket of this node, 0: unknown.
     RATELIMIT_REJECTED: time until the server may take the request.  */
  int64_t wait_ms;
};

/* NODE: this node's name, copied.  */
struct ratelimit *ratelimit_new (const char *node);
void ratelimit_free (struct ratelimit *ratelimit);

/* See homes_set.  */
void ratelimit_set_nodes (struct ratelimit *ratelimit,
                          const struct homes_node *nodes, size_t count,
                          struct timespec now);

/* SERVER named PER_S, 0: none, in its response to a request that was sent at
   SENT_AT.  Returns whether that is a change.  */
bool ratelimit_heard (struct ratelimit *ratelimit, const char *server,
                      double per_s, struct timespec sent_at,
                      struct timespec now, struct action_list *actions);

/* PEER told what SERVER had named AGE_MS ago.  Returns whether that is a
   change.  */
bool ratelimit_told (struct ratelimit *ratelimit, const char *peer,
                     const char *server, double per_s, int64_t age_ms,
                     struct timespec now, struct action_list *actions);

/* The latest limit of SERVER, requests a second; 0: none.  */
double ratelimit_per_s (const struct ratelimit *ratelimit, const char *server);

/* Whether a request may be sent to SERVER.  ASK: of the request, see
   ratelimit_want, or 0.  */
struct ratelimit_verdict ratelimit_check (struct ratelimit *ratelimit,
                                          const char *server, uint64_t ask,
                                          struct timespec now);

/* A request is sent to SERVER: uses a ticket.  Returns false if there was none
   but SERVER has a limit.  */
bool ratelimit_take (struct ratelimit *ratelimit, const char *server,
                     struct timespec now);

/* A request waits for a ticket of SERVER for a time within WAIT_MAX_MS, and
   RATELIMIT_WAIT_MAX_MS.
   Returns a number for ratelimit_check and ratelimit_unwant, never 0.  */
uint64_t ratelimit_want (struct ratelimit *ratelimit, const char *server,
                         int64_t wait_max_ms, struct timespec now,
                         struct action_list *actions);

/* The request does not wait any more.  */
void ratelimit_unwant (struct ratelimit *ratelimit, const char *server,
                       uint64_t ask);

/* Requests would go to SERVER if there were a ticket: asks for one.  */
void ratelimit_prefetch (struct ratelimit *ratelimit, const char *server,
                         struct timespec now, struct action_list *actions);

/* Messages from peers.  ratelimit_asked: after ratelimit_told.  */
void ratelimit_asked (struct ratelimit *ratelimit, const char *peer,
                      const char *server, uint64_t ask, int64_t wait_max_ms,
                      struct timespec now, struct action_list *actions);
void ratelimit_replied (struct ratelimit *ratelimit, const char *server,
                        uint64_t ask, bool rejected, int64_t wait_ms,
                        struct timespec now, struct action_list *actions);

/* Sends all that is known to NODE, a peer that has connected.  */
void ratelimit_send_all (struct ratelimit *ratelimit, const char *node,
                         struct timespec now, struct action_list *actions);

/* Due at ratelimit_next; zero: not before something else happens.  */
void ratelimit_tick (struct ratelimit *ratelimit, struct timespec now,
                     struct action_list *actions);
struct timespec ratelimit_next (const struct ratelimit *ratelimit);

#endif
