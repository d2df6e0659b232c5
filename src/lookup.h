/* lookup - selects the nodes that a caller should use for a target.

   Rendezvous hashing with bounded loads, after Thaler and Ravishankar (1998)
   and Mirrokni, Thorup and Zadimoghaddam (2016): the requests for one target
   go to a few nodes, and the loss of a node moves only the callers that used
   it.  Nodes in the caller's zone come first; the last address is in another
   zone if there is one, so that a caller survives the loss of its zone.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_LOOKUP_H
#define PARSLEYRILL_LOOKUP_H

#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define LOOKUP_ADDRESSES 3 /* default number of addresses in an answer */
#define LOOKUP_TTL_S 5     /* how long a caller may cache an answer */

struct lookup_query
{
  const char *target;
  const char *zone;   /* of the caller; NULL: unknown */
  const char *region; /* of the caller; NULL: unknown */
  /* Identifies the caller: the callers of one target share the same few nodes
     but have different first choices.  0: none.  */
  uint64_t caller;
  /* Load of each node, in any unit, parallel to the nodes; NULL: unknown.
     Nodes with more than BOUND times the mean load are ranked last.  */
  const uint64_t *load;
  double bound; /* 0: the default, 1.25 */
};

/* Fills PICKED with pointers to up to MAX of the COUNT NODES, best first.
   Returns their number.  */
size_t lookup_nodes (const struct lookup_query *query,
                     const struct route_node *nodes, size_t count,
                     const struct route_node **picked, size_t max);

/* How many of the COUNT nodes PICKED, best first, to return to a caller in
   ZONE: all leading nodes in ZONE, and at least MIN_COUNT nodes if COUNT
   allows.  */
size_t lookup_answer_size (const struct route_node *const *picked,
                           size_t count, const char *zone, size_t min_count);

/* Rendezvous weight of NODE for KEY; the node with the highest is the first
   choice.  A different SEED gives an independent order.  */
uint64_t lookup_weight (const char *key, const char *node, uint64_t seed);

#endif
