/* origin - remembers which version of the server software began each stream,
   and selects the nodes that keep copies.

   What two versions write does not fit together, so a stream may be resumed
   only at the version that began it.  A stream is forgotten when it can no
   longer be resumed, and the oldest ones when there are too many.

   No I/O and no clock; one thread.  Ownership: strings are copied.  */

#ifndef PARSLEYRILL_ORIGIN_H
#define PARSLEYRILL_ORIGIN_H

#include <stddef.h>
#include <time.h>

#define ORIGIN_STREAMS_MAX 20000
/* Nodes that keep a copy, besides the one that began the stream.  */
#define ORIGIN_COPIES 3
/* Nodes to ask: more than ORIGIN_COPIES, since the node that began the stream
   may be among them, and a node that knows other members ranks them
   differently.  */
#define ORIGIN_ASKED 5

struct origin;

/* A stream; borrowed from struct origin.  */
struct origin_stream
{
  const char *service;
  const char *software; /* version that began the stream */
  struct timespec expires;
};

struct origin_node
{
  const char *id;
  const char *zone;
};

struct origin *origin_new (void);
void origin_free (struct origin *origin);

/* Adds or replaces the stream that began with request ID.  */
void origin_put (struct origin *origin, const char *id, const char *service,
                 const char *software, struct timespec expires);

/* The stream that began with request ID; NULL if it is not known.  Borrowed
   until the next call that changes ORIGIN.  */
const struct origin_stream *origin_find (const struct origin *origin,
                                         const char *id, struct timespec now);

/* Forgets the streams that have expired.  */
void origin_expire (struct origin *origin, struct timespec now);

/* Selects the nodes for stream ID from the COUNT NODES: fills PICKED with up
   to MAX indices, of nodes in different zones first, and returns their
   number.  All nodes that know the same others select the same.  */
size_t origin_nodes (const char *id, const struct origin_node *nodes,
                     size_t count, size_t *picked, size_t max);

#endif
