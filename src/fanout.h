/* fanout - to which nodes a message to all nodes is sent.

   In a small fleet its origin sends it to every node.  In a larger one it
   sends it to the nodes of its own availability zone and to a few relays
   in each other zone, which pass it on within their zone.  So each zone
   is entered a fixed number of times, no node sends to more than its zone and
   the relays, and a copy arrives as long as one relay of the zone lives.
   Receivers drop repeated copies.

   The choice needs no agreement: a relay is told that it is one.

   Pure functions, one thread.  */

#ifndef PARSLEYRILL_FANOUT_H
#define PARSLEYRILL_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "member.h"

#define FANOUT_RELAYS 2      /* per availability zone */
#define FANOUT_DIRECT_MAX 24 /* nodes served without relays */

struct fanout_target
{
  const char *node; /* borrowed from the members */
  bool relay;       /* passes the message on within its zone */
};

struct fanout_query
{
  const struct member_info *const *members; /* borrowed */
  size_t count;
  const char *self;
  const char *zone; /* of SELF */
  unsigned relays;  /* per availability zone, at most; 0: FANOUT_RELAYS */
  uint64_t seed;    /* another one chooses other relays */
  /* Whether there is a link to NODE.  */
  bool (*linked) (void *user, const char *node);
  void *user;
};

/* Appends struct fanout_target for a message of this node to TARGETS.  */
void fanout_origin (const struct fanout_query *query, GArray *targets);

/* The same for a message that FROM asked this node to pass on.  */
void fanout_relay (const struct fanout_query *query, const char *from,
                   GArray *targets);

#endif
