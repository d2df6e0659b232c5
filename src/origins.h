/* origins - exchanges with the other nodes which version of the server
   software began a stream.

   A service of the kernel, "origins".  When a stream begins here, a few other
   nodes get a copy of its origin, so that it stays known when this node dies.
   A node that resumes a stream which it does not know asks the nodes that may
   have a copy.  See origin.h.  One thread.  */

#ifndef PARSLEYRILL_ORIGINS_H
#define PARSLEYRILL_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>
#include "kernel.h"
#include "loop.h"
#include "origin.h"
#include "versions.h"

#define ORIGINS_NAME "origins"
/* How long a node waits for answers.  Nodes that answer at all usually do so
   within a few milliseconds.  */
#define ORIGINS_TIMEOUT_MS 200
/* A stream is remembered for at most this time.  */
#define ORIGINS_TTL_MAX_MS VERSIONS_MEMORY_MS

struct origins;

enum origins_result
{
  ORIGINS_KNOWN,
  ORIGINS_UNKNOWN,  /* no node that was asked knows the stream */
  ORIGINS_NO_ANSWER /* some did not answer in time, the others do not know
                       it */
};

/* A question to the other nodes.  Embedded in the caller's struct, which must
   stay valid until DONE is called or origins_cancel returns.  All zero: not in
   progress.  */
struct origins_query
{
  TAILQ_ENTRY (origins_query) link;
  struct origins *origins; /* NULL: not in progress */
  char *stream;
  unsigned open; /* nodes that have not answered */
  struct loop_timer timer;
  /* Called once, from the event loop.  STREAM is NULL unless it is known.  */
  void (*done) (struct origins_query *query, enum origins_result result,
                const struct origin_stream *stream);
};

struct service *origins_new (void);
void origins_free (struct service *service);
struct origins *origins_find (struct kernel *kernel);

/* The stream that began with request ID got its first events from a server of
   SERVICE with SOFTWARE.  It may be resumed for TTL_MS.  */
void origins_put (struct origins *origins, const char *id, const char *service,
                  const char *software, int64_t ttl_ms);

/* The stream that began with request ID, NULL if this node does not know it.
   Borrowed until the next event.  */
const struct origin_stream *origins_get (const struct origins *origins,
                                         const char *id);

/* Asks other nodes for the stream that began with request ID.  DONE is not
   called before this returns.  */
void origins_ask (struct origins *origins, struct origins_query *query,
                  const char *id,
                  void (*done) (struct origins_query *query,
                                enum origins_result result,
                                const struct origin_stream *stream));

/* Whether this node has links to less than half of the others.  */
bool origins_isolated (const struct origins *origins);

/* Ends QUERY without calling DONE; no effect if it is not in progress.  */
void origins_cancel (struct origins_query *query);

#endif
