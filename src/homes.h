/* homes - which node of the fleet is the home of a key, and which part of the
   fleet this node sees.

   The home is the node with the highest lookup_weight among those that serve.
   Nodes cannot tell a node that is gone from one that is cut off, so that a
   node counts for HOMES_MEMORY_MS after it served last.

   No I/O; one thread.  */

#ifndef PARSLEYRILL_HOMES_H
#define PARSLEYRILL_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define HOMES_MEMORY_MS 120000
#define HOMES_FIRST_MAX 3

struct homes;

struct homes_node
{
  const char *name;
  bool linked; /* there is a link to it; of this node: true */
  bool serves; /* it may be a home: neither dead nor leaving */
};

/* NODE: this node's name, copied.  */
struct homes *homes_new (const char *node);
void homes_free (struct homes *homes);

/* All nodes that are listed, this one among them.  */
void homes_set (struct homes *homes, const struct homes_node *nodes,
                size_t count, struct timespec now);

/* When a node last began or ceased to serve, this one included.  */
struct timespec homes_changed_at (const struct homes *homes);

/* The home of KEY; borrowed until the next homes_set.  */
const char *homes_find (const struct homes *homes, const char *key);
/* The first MAX homes of KEY, at most HOMES_FIRST_MAX, best first, borrowed
   until the next homes_set.  Returns their number, at least 1.  */
size_t homes_first (const struct homes *homes, const char *key,
                    const char **out, size_t max);
bool homes_is_self (const struct homes *homes, const char *node);
bool homes_is_linked (const struct homes *homes, const char *node);

/* The share of all nodes that are linked to this one, it included, and that of
   one node.  */
double homes_linked_share (const struct homes *homes);
double homes_own_share (const struct homes *homes);
/* The same without the nodes whose link is younger than AGE_MS.  */
double homes_settled_share (const struct homes *homes, int64_t age_ms,
                            struct timespec now);

/* A number from 0 to 1 that differs between nodes.  */
double homes_phase (const struct homes *homes, const char *key);
/* The same, evenly spread over the nodes that this node knows.  */
double homes_rank (const struct homes *homes);

#endif
