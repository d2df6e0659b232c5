#include "cellrank.h"

#include <limits.h>
#include <string.h>
#include <glib.h>
#include "lookup.h"

#define RENDEZVOUS_SEED UINT64_C (3) /* differs from those in lookup.c */

/* Index of the node with the highest rendezvous weight for CELL among those
   that so far rank first for fewer than SHARE cells.  */
static size_t
first_candidate (const char *cell, const char *const *nodes, size_t count,
                 const unsigned *first_count, unsigned share)
{
  size_t best = count;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = lookup_weight (cell, nodes[i], RENDEZVOUS_SEED);

      if (first_count[i] < share && (best == count || weight > best_weight))
        {
          best = i;
          best_weight = weight;
        }
    }
  return best;
}

/* Rank of SELF, which is not the first candidate.  */
static unsigned
rank_after_first (const char *cell, const char *const *nodes, size_t count,
                  size_t self, size_t first)
{
  uint64_t own = lookup_weight (cell, nodes[self], RENDEZVOUS_SEED);
  unsigned rank = 1;

  for (size_t i = 0; i < count; i++)
    if (i != self && i != first
        && lookup_weight (cell, nodes[i], RENDEZVOUS_SEED) > own)
      rank++;
  return rank;
}

static size_t
node_index (const char *const *nodes, size_t count, const char *node)
{
  size_t i = 0;

  while (i < count && strcmp (nodes[i], node) != 0)
    i++;
  return i;
}

void
cellrank (const char *const *cells, size_t cell_count,
          const char *const *nodes, size_t node_count, const char *self,
          unsigned *ranks)
{
  size_t self_index = node_index (nodes, node_count, self);
  unsigned *first_count = g_new0 (unsigned, node_count + 1);
  unsigned share
      = node_count == 0
            ? 0
            : (unsigned)((cell_count + node_count - 1) / node_count);

  for (size_t i = 0; i < cell_count; i++)
    {
      size_t first
          = first_candidate (cells[i], nodes, node_count, first_count, share);

      first_count[first]++;
      if (self_index == node_count)
        ranks[i] = UINT_MAX;
      else if (self_index == first)
        ranks[i] = 0;
      else
        ranks[i] = rank_after_first (cells[i], nodes, node_count, self_index,
                                     first);
    }
  g_free (first_count);
}
