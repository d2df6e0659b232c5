/* member - which nodes are live, after SWIM (Das, Gupta and Motivala 2002).

   In each interval a node probes one peer; when no answer comes, it asks a
   few others to probe it, then suspects it, then holds it dead.  Changes are
   piggy-backed on probes and their answers, so that the cost of a node does
   not grow with the number of nodes.  A suspected node refutes by raising its
   incarnation.  A node that was paused, or to which nobody answers, doubts
   itself first: it declares nobody dead until others answer again.

   Pure decider: see action.h.  Control thread only.  */

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
  MEMBER_LEAVING, /* planned stop announced; still serves */
  MEMBER_DEAD
};

/* What is known of a node; also the form in which it is passed on.
   INCARNATION 0: named by the instance list, never heard of otherwise.  */
struct member_info
{
  char *id;
  char *address;            /* IP:port for peers */
  char *advertised_address; /* IP:port for callers */
  char *zone;
  char *region;
  uint64_t incarnation; /* per start; raised to refute */
  enum member_state state;
  uint64_t doc_version; /* configuration in force there, as last heard */
  uint64_t load;        /* requests under way there, as last heard */
};

struct member_options
{
  struct member_info self;   /* copied */
  struct timespec interval;  /* zero: 500 ms; between probes */
  struct timespec timeout;   /* zero: 200 ms; until others are asked */
  struct timespec suspicion; /* zero: 2 s; until a suspect is held dead */
  GRand *rand;               /* borrowed */
};

enum member_action_type
{
  MEMBER_PROBE,  /* send a probe to TO, answered by its member_answered */
  MEMBER_RELAY,  /* ask TO to probe SUBJECT for us */
  MEMBER_ANSWER, /* answer probe NUMBER of TO */
  MEMBER_CHANGED /* INFO is new, or its state or address changed */
};

#define MEMBER_GOSSIP_MAX 16 /* members passed on with one message */

struct member_action
{
  struct action action;
  char *to;      /* node id; all owned by the action */
  char *subject; /* MEMBER_RELAY; MEMBER_ANSWER: about whom, NULL: self */
  uint64_t number;
  struct member_info info;                      /* MEMBER_CHANGED */
  struct member_info gossip[MEMBER_GOSSIP_MAX]; /* the first is self */
  size_t gossip_count;
};

struct member *member_new (const struct member_options *options);
void member_free (struct member *member);

void member_tick (struct member *member, struct timespec now,
                  struct action_list *out);
struct timespec member_next (const struct member *member);

/* Messages from peer FROM.  SUBJECT as in struct member_action.  */
void member_probed (struct member *member, const char *from, uint64_t number,
                    const struct member_info *gossip, size_t count,
                    struct timespec now, struct action_list *out);
void member_relay (struct member *member, const char *from,
                   const char *subject, uint64_t number,
                   const struct member_info *gossip, size_t count,
                   struct timespec now, struct action_list *out);
void member_answered (struct member *member, const char *from,
                      const char *subject, uint64_t number,
                      const struct member_info *gossip, size_t count,
                      struct timespec now, struct action_list *out);

/* A link to peer ID is up: both tell each other whom they know.  */
void member_link_up (struct member *member, const char *id,
                     struct action_list *out);

/* The link to peer ID broke: it is probed through others at once.  */
void member_link_down (struct member *member, const char *id,
                       struct timespec now, struct action_list *out);

/* The platform's instance list, which lags; its addresses are for callers.  It
   brings new nodes and forgets dead ones; it kills nobody who answers.  */
void member_update_instances (struct member *member,
                              const struct platform_instances *instances,
                              struct timespec now, struct action_list *out);

/* Own facts for the next messages.  */
void member_set_facts (struct member *member, uint64_t doc_version,
                       uint64_t load);
/* Planned stop: announce it.  */
void member_leave (struct member *member, struct timespec now,
                   struct action_list *out);

/* Members, self included, sorted by id; borrowed until the next call.  */
const struct member_info *const *member_list (const struct member *member,
                                              size_t *count);
const struct member_info *member_find (const struct member *member,
                                       const char *id);
/* May callers be sent there?  */
bool member_is_routable (const struct member_info *info);

/* There are others, and none that is known is held dead.  */
bool member_whole (const struct member *member);

/* Nobody answers this node: its view is not to be acted on.  */
bool member_isolated (const struct member *member);

void member_info_copy (struct member_info *to, const struct member_info *from);
void member_info_clear (struct member_info *info);

#endif
