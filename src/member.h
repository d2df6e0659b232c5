/* member - cluster membership and failure detection, after SWIM (Das, Gupta
   and Motivala 2002).

   In each interval a node probes one peer.  If no acknowledgement arrives in
   time, it asks a few other nodes to probe that peer, then marks it suspect,
   and declares it dead when the suspicion times out.  State changes are
   piggybacked on probes and acknowledgements, so the traffic of a node does
   not grow with the size of the cluster.  A suspected node refutes the
   suspicion by raising its incarnation.  A node that was paused, or that
   receives no messages, assumes that the fault is its own: it declares nobody
   dead until messages arrive again.

   A state machine that does no I/O: see action.h.  Control thread only.  */

#ifndef PARSLEYRILL_MEMBER_H
#define PARSLEYRILL_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "action.h"
#include "platform.h"

struct member;

enum member_state
{
  MEMBER_LIVE,
  MEMBER_SUSPECT,
  MEMBER_LEAVING, /* shutting down gracefully; still serves */
  MEMBER_DEAD
};

/* State of a node, as stored and as gossiped.  INCARNATION 0: known from the
   instance list only.  */
struct member_info
{
  char *id;
  char *address;            /* IP:port for peers */
  char *advertised_address; /* IP:port for callers */
  char *zone;
  char *region;
  uint64_t incarnation; /* new at each start; raised to refute */
  enum member_state state;
  uint64_t doc_version; /* configuration applied there, last reported */
  uint64_t load;        /* requests in flight there, last reported */
};

struct member_options
{
  struct member_info self;   /* copied */
  struct timespec interval;  /* between probes; zero: 500 ms */
  struct timespec timeout;   /* until indirect probes; zero: 200 ms */
  struct timespec suspicion; /* until a suspect is declared dead; zero: 2 s */
  GRand *rand;               /* borrowed */
};

enum member_action_type
{
  MEMBER_PROBE,         /* send a probe to TO */
  MEMBER_PROBE_REQUEST, /* ask TO to probe SUBJECT for this node */
  MEMBER_ACK,           /* acknowledge probe NUMBER of TO */
  MEMBER_CHANGED /* INFO is a new node, or its state or address changed */
};

#define MEMBER_GOSSIP_MAX 16 /* members in one message */

struct member_action
{
  struct action action;
  char *to;      /* node id; all owned by the action */
  char *subject; /* probed node; in MEMBER_ACK, NULL: this node */
  uint64_t number;
  struct member_info info;                      /* MEMBER_CHANGED */
  struct member_info gossip[MEMBER_GOSSIP_MAX]; /* first: this node */
  size_t gossip_count;
};

struct member *member_new (const struct member_options *options);
void member_free (struct member *member);

void member_tick (struct member *member, struct timespec now,
                  struct action_list *out);
struct timespec member_next_tick (const struct member *member);

/* Handle a message from peer FROM.  SUBJECT as in struct member_action.  */
void member_receive_probe (struct member *member, const char *from,
                           uint64_t number, const struct member_info *gossip,
                           size_t count, struct timespec now,
                           struct action_list *out);
void member_receive_probe_request (struct member *member, const char *from,
                                   const char *subject, uint64_t number,
                                   const struct member_info *gossip,
                                   size_t count, struct timespec now,
                                   struct action_list *out);
void member_receive_ack (struct member *member, const char *from,
                         const char *subject, uint64_t number,
                         const struct member_info *gossip, size_t count,
                         struct timespec now, struct action_list *out);

/* A link to peer ID is up: probes it at once, so that both exchange their
   member lists.  */
void member_link_up (struct member *member, const char *id,
                     struct action_list *out);

/* The link to peer ID broke: probes it at once, also through other nodes.  */
void member_link_down (struct member *member, const char *id,
                       struct timespec now, struct action_list *out);

/* Merges the platform's instance list, which lags behind and has only the
   addresses for callers.  Nodes that it lists are added; dead nodes that it no
   longer lists may be removed.  It never makes a responding node dead.  */
void member_update_instances (struct member *member,
                              const struct platform_instances *instances,
                              struct timespec now, struct action_list *out);

/* Sets what the next messages report about this node.  */
void member_set_local_info (struct member *member, uint64_t doc_version,
                            uint64_t load);
/* Announces a graceful shutdown to all members.  */
void member_leave (struct member *member, struct timespec now,
                   struct action_list *out);

/* All members including this node, sorted by id; borrowed until the next
   call.  */
const struct member_info *const *member_list (const struct member *member,
                                              size_t *count);
const struct member_info *member_find (const struct member *member,
                                       const char *id);
/* Whether callers may be directed to this node.  */
bool member_is_routable (const struct member_info *info);

/* Whether there are other members and none of them is dead.  */
bool member_all_alive (const struct member *member);

/* Whether this node receives no messages, so that its view of the others
   must not be acted on.  */
bool member_isolated (const struct member *member);

void member_info_copy (struct member_info *to, const struct member_info *from);
void member_info_clear (struct member_info *info);

#endif
