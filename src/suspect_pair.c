#include "suspect_pair.h"

#include <string.h>
#include <xxhash.h>

uint64_t
suspect_hash (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

uint64_t
suspect_fingerprint (const char *target, const void *body, size_t length)
{
  uint64_t hash = XXH3_64bits_withSeed (body, length, suspect_hash (target));

  return hash != 0 ? hash : 1;
}

/* Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to
   increase hit rates".  */
static uint64_t
weight (uint64_t fingerprint, uint64_t name)
{
  return XXH3_64bits_withSeed (&name, sizeof name, fingerprint);
}

struct ranked
{
  uint64_t weight;
  uint64_t engine;
  size_t index;
};

#define RANKED_LOST SIZE_MAX /* index of LOST, which is no replica */

/* Inserts ONE into the N elements of TOP, which are sorted by descending
   weight, and drops the last one if they are too many.  */
static void
rank (struct ranked top[SUSPECT_PAIR_MAX], unsigned *n, struct ranked one)
{
  unsigned at = *n;

  while (at > 0 && top[at - 1].weight < one.weight)
    at--;
  if (at >= SUSPECT_PAIR_MAX)
    return;
  if (*n < SUSPECT_PAIR_MAX)
    (*n)++;
  for (unsigned i = *n - 1; i > at; i--)
    top[i] = top[i - 1];
  top[at] = one;
}

unsigned
suspect_pair (uint64_t fingerprint, uint64_t lost,
              const struct route_replica *replicas, size_t count,
              size_t out[SUSPECT_PAIR_MAX])
{
  struct ranked top[SUSPECT_PAIR_MAX];
  size_t restarted = RANKED_LOST; /* index of LOST, if it is a replica again */
  unsigned n = 0;
  unsigned out_count = 0;

  if (lost != 0)
    rank (top, &n,
          (struct ranked){ weight (fingerprint, lost), lost, RANKED_LOST });
  for (size_t i = 0; i < count; i++)
    {
      uint64_t engine = suspect_hash (replicas[i].engine->id);

      if (replicas[i].leaving)
        continue;
      if (engine == lost)
        restarted = i;
      else
        rank (top, &n,
              (struct ranked){ weight (fingerprint, engine), engine, i });
    }
  for (unsigned i = 0; i < n; i++)
    if (top[i].index != RANKED_LOST)
      out[out_count++] = top[i].index;
  if (out_count == 0 && restarted != RANKED_LOST)
    out[out_count++] = restarted;
  return out_count;
}
