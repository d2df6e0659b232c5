/* hints - which servers are likely to have a prompt prefix in their caches.

   A hint that a server has a prefix is trusted less with age, and with what
   was sent there since, because the server evicts the least recently used
   ones.  The table has a fixed size; old hints are replaced.

   No I/O; one thread.  Strings are copied.  */

#ifndef PARSLEYRILL_HINTS_H
#define PARSLEYRILL_HINTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Tokens that an engine has room for, in its cache and running requests.  */
#define HINTS_CACHE_TOKENS 232000

struct hints;

struct hints *hints_new (void);
void hints_free (struct hints *hints);

/* The hash of the server ID and PREFIX; never 0.  */
uint64_t hints_key (const char *id, uint64_t prefix);

struct hint_source
{
  const char *id; /* of the server */
  int64_t born;   /* its start, 0: unknown */
};

/* SOURCE has (PRESENT) or has evicted PREFIX as of AT.  An older hint never
   overrides a newer one.  */
void hints_put (struct hints *hints, const struct hint_source *source,
                uint64_t prefix, bool present, struct timespec at);

/* Hints of server ID up to AT are trusted half as much.  */
void hints_gap (struct hints *hints, const char *id, struct timespec at);

/* This node sent a prompt with TOKENS that it had not cached to server ID.  */
void hints_sent (struct hints *hints, const char *id, uint64_t tokens,
                 struct timespec now);

/* The probability that SOURCE has PREFIX.  NODES nodes have sent as much there
   since the hint as this one; 0: only the age of the hint counts.  */
double hints_trust (struct hints *hints, const struct hint_source *source,
                    uint64_t prefix, size_t nodes, struct timespec now);

#endif
