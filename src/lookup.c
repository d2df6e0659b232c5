#include "lookup.h"

#include <stdbool.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>

#define DEFAULT_BOUND 1.25
#define SEED_TARGET UINT64_C (1)
#define SEED_CALLER UINT64_C (2)

enum proximity
{
  SAME_ZONE,
  SAME_REGION,
  OTHER_REGION,
  PROXIMITY_COUNT
};

struct candidate
{
  const struct route_node *node;
  unsigned group; /* lower is preferred */
  uint64_t weight;
};

static uint64_t
hash (const char *text, uint64_t seed)
{
  return XXH64 (text, strlen (text), seed);
}

uint64_t
lookup_weight (const char *key, const char *node, uint64_t seed)
{
  return hash (node, hash (key, seed));
}

static enum proximity
proximity (const struct lookup_query *query, const struct route_node *node)
{
  if (g_strcmp0 (query->zone, node->zone) == 0)
    return SAME_ZONE;
  if (g_strcmp0 (query->region, node->region) == 0)
    return SAME_REGION;
  return OTHER_REGION;
}

static double
load_limit (const struct lookup_query *query, size_t count)
{
  double bound = query->bound > 0 ? query->bound : DEFAULT_BOUND;
  double total = 0;

  for (size_t i = 0; i < count; i++)
    total += (double)query->load[i];
  return bound * total / (double)count + 1;
}

static int
compare (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->group != y->group)
    return x->group < y->group ? -1 : 1;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->node->id, y->node->id);
}

static struct candidate *
rank_nodes (const struct lookup_query *query, const struct route_node *nodes,
            size_t count)
{
  struct candidate *candidates = g_new (struct candidate, count);
  double limit = query->load != NULL ? load_limit (query, count) : 0;
  uint64_t key = hash (query->target, SEED_TARGET);

  for (size_t i = 0; i < count; i++)
    {
      bool overloaded = query->load != NULL && (double)query->load[i] > limit;

      candidates[i].node = &nodes[i];
      candidates[i].group = proximity (query, &nodes[i]);
      if (overloaded)
        candidates[i].group += PROXIMITY_COUNT;
      candidates[i].weight = hash (nodes[i].id, key);
    }
  qsort (candidates, count, sizeof *candidates, compare);
  return candidates;
}

/* If all candidates up to index LAST are in one zone, swaps the best candidate
   of another zone into index LAST.  */
static void
spread_zones (struct candidate *candidates, size_t count, size_t last)
{
  for (size_t i = 1; i < count; i++)
    {
      struct candidate other = candidates[i];

      if (g_strcmp0 (other.node->zone, candidates[0].node->zone) == 0)
        continue;
      if (i > last)
        {
          candidates[i] = candidates[last];
          candidates[last] = other;
        }
      return;
    }
}

/* Reorders the leading candidates of equal rank by the caller's own weights,
   so that callers have different first choices.  */
static void
order_for_caller (const struct lookup_query *query,
                  struct candidate *candidates, size_t count)
{
  size_t equal = 1;

  while (equal < count && candidates[equal].group == candidates[0].group)
    equal++;
  for (size_t i = 0; i < equal; i++)
    candidates[i].weight
        = hash (candidates[i].node->id, query->caller * 2 + SEED_CALLER);
  qsort (candidates, equal, sizeof *candidates, compare);
}

size_t
lookup_nodes (const struct lookup_query *query, const struct route_node *nodes,
              size_t count, const struct route_node **picked, size_t max)
{
  struct candidate *candidates;
  size_t n = count < max ? count : max;

  if (n == 0)
    return 0;
  candidates = rank_nodes (query, nodes, count);
  if (n > 1)
    spread_zones (candidates, count, n - 1);
  if (query->caller != 0)
    order_for_caller (query, candidates, n);
  for (size_t i = 0; i < n; i++)
    picked[i] = candidates[i].node;
  g_free (candidates);
  return n;
}

size_t
lookup_answer_size (const struct route_node *const *picked, size_t count,
                    const char *zone, size_t min_count)
{
  size_t in_zone = 0;

  while (in_zone < count && g_strcmp0 (picked[in_zone]->zone, zone) == 0)
    in_zone++;
  return MIN (count, MAX (in_zone, min_count));
}
