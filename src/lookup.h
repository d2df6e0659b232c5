/* lookup - which nodes a caller should use for a target.

   Rendezvous hashing with a bound on load, after Thaler and Ravishankar
   (1998) and Mirrokni, Thorup and Zadimoghaddam (2016): a target's calls meet
   at few nodes, and a node that goes moves only its own callers.  Nodes of
   the caller's zone come first; the last address is in another zone when
   there is one, so that a caller survives the loss of its zone.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_LOOKUP_H
#define PARSLEYRILL_LOOKUP_H

#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define LOOKUP_ADDRESSES 3 /* usual number of addresses in an answer */
#define LOOKUP_TTL_S 5     /* how long a caller may keep an answer */

struct lookup_query
{
  const char *target;
  const char *zone;   /* of the caller; NULL: not known */
  const char *region; /* of the caller; NULL: not known */
  /* Distinguishes callers: one target's callers share the same few nodes but
     begin with different ones.  0: no preference.  */
  uint64_t caller;
  /* Load of each node, in any unit, parallel to the nodes; NULL: not known.
     A node above BOUND times the mean of all comes after the others.  */
  const uint64_t *load;
  double bound; /* 0: the usual 1.25 */
};

/* Fills PICKED with up to MAX of the COUNT nodes, best first; returns how
   many.  The pointers borrow from NODES.  */
size_t lookup_nodes (const struct lookup_query *query,
                     const struct route_node *nodes, size_t count,
                     const struct route_node **picked, size_t max);

/* How many of the COUNT nodes PICKED, best first, a caller in ZONE needs to
   know: those in its zone, and LEAST at least while there are so many.  */
size_t lookup_answer_size (const struct route_node *const *picked,
                           size_t count, const char *zone, size_t least);

/* Weight of NODE for KEY; the highest is the first choice.  SEED separates
   uses.  */
uint64_t lookup_weight (const char *key, const char *node, uint64_t seed);

#endif
