#include "lookup.h"

#include <stdbool.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>

#define USUAL_BOUND 1.25
#define SEED_TARGET UINT64_C (1)
#define SEED_CALLER UINT64_C (2)

enum nearness
{
  SAME_ZONE,
  SAME_REGION,
  ELSEWHERE,
  NEARNESS_COUNT
};

struct candidate
{
  const struct route_node *node;
  unsigned group; /* lower is better */
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

static enum nearness
nearness (const struct lookup_query *query, const struct route_node *node)
{
  if (g_strcmp0 (query->zone, node->zone) == 0)
    return SAME_ZONE;
  if (g_strcmp0 (query->region, node->region) == 0)
    return SAME_REGION;
  return ELSEWHERE;
}

static double
load_limit (const struct lookup_query *query, size_t count)
{
  double bound = query->bound > 0 ? query->bound : USUAL_BOUND;
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
  struct candidate *all = g_new (struct candidate, count);
  double limit = query->load != NULL ? load_limit (query, count) : 0;
  uint64_t key = hash (query->target, SEED_TARGET);

  for (size_t i = 0; i < count; i++)
    {
      bool over = query->load != NULL && (double)query->load[i] > limit;

      all[i].node = &nodes[i];
      all[i].group = nearness (query, &nodes[i]);
      if (over)
        all[i].group += NEARNESS_COUNT;
      all[i].weight = hash (nodes[i].id, key);
    }
  qsort (all, count, sizeof *all, compare);
  return all;
}

/* Moves the best node of another zone than the first to place LAST, when the
   places up to LAST are all in one zone.  */
static void
spread_zones (struct candidate *all, size_t count, size_t last)
{
  for (size_t i = 1; i < count; i++)
    {
      struct candidate other = all[i];

      if (g_strcmp0 (other.node->zone, all[0].node->zone) == 0)
        continue;
      if (i > last)
        {
          all[i] = all[last];
          all[last] = other;
        }
      return;
    }
}

/* Among equally good nodes each caller has its own first choice.  */
static void
order_for_caller (const struct lookup_query *query, struct candidate *all,
                  size_t count)
{
  size_t equal = 1;

  while (equal < count && all[equal].group == all[0].group)
    equal++;
  for (size_t i = 0; i < equal; i++)
    all[i].weight = hash (all[i].node->id, query->caller * 2 + SEED_CALLER);
  qsort (all, equal, sizeof *all, compare);
}

size_t
lookup_nodes (const struct lookup_query *query, const struct route_node *nodes,
              size_t count, const struct route_node **picked, size_t max)
{
  struct candidate *all;
  size_t n = count < max ? count : max;

  if (n == 0)
    return 0;
  all = rank_nodes (query, nodes, count);
  if (n > 1)
    spread_zones (all, count, n - 1);
  if (query->caller != 0)
    order_for_caller (query, all, n);
  for (size_t i = 0; i < n; i++)
    picked[i] = all[i].node;
  g_free (all);
  return n;
}

size_t
lookup_answer_size (const struct route_node *const *picked, size_t count,
                    const char *zone, size_t least)
{
  size_t near = 0;

  while (near < count && g_strcmp0 (picked[near]->zone, zone) == 0)
    near++;
  return MIN (count, MAX (near, least));
}
