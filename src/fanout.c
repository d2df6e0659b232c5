#include "fanout.h"

#include <string.h>
#include "lookup.h"

static bool
is_reachable (const struct fanout_query *query, const struct member_info *info)
{
  return info->state != MEMBER_DEAD && strcmp (info->id, query->self) != 0
         && query->linked (query->user, info->id);
}

static bool
in_zone (const struct member_info *info, const char *zone)
{
  return g_strcmp0 (info->zone, zone) == 0;
}

static void
append (GArray *targets, const char *node, bool relay)
{
  struct fanout_target target = { .node = node, .relay = relay };

  g_array_append_val (targets, target);
}

/* A candidate for relay in its zone.  */
struct candidate
{
  const struct member_info *info;
  uint64_t weight;
};

/* By zone; within it nodes that are not suspected first, then by weight.  */
static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;
  bool x_live = x->info->state == MEMBER_LIVE;
  bool y_live = y->info->state == MEMBER_LIVE;
  int zones = g_strcmp0 (x->info->zone, y->info->zone);

  if (zones != 0)
    return zones;
  if (x_live != y_live)
    return x_live ? -1 : 1;
  return x->weight < y->weight ? 1 : x->weight > y->weight ? -1 : 0;
}

static void
append_relays (const struct fanout_query *query, GArray *candidates,
               GArray *targets)
{
  unsigned limit = query->relays > 0 ? query->relays : FANOUT_RELAYS;
  const char *zone = NULL;
  unsigned relays = 0;

  g_array_sort (candidates, compare_candidates);
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct member_info *info
          = g_array_index (candidates, struct candidate, i).info;

      if (i == 0 || !in_zone (info, zone))
        relays = 0;
      zone = info->zone;
      if (relays++ < limit)
        append (targets, info->id, true);
    }
}

void
fanout_origin (const struct fanout_query *query, GArray *targets)
{
  bool direct = query->count <= FANOUT_DIRECT_MAX;
  GArray *others = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (size_t i = 0; i < query->count; i++)
    {
      struct candidate candidate = { .info = query->members[i] };

      if (!is_reachable (query, candidate.info))
        continue;
      if (direct || in_zone (candidate.info, query->zone))
        {
          append (targets, candidate.info->id, false);
          continue;
        }
      candidate.weight
          = lookup_weight (query->self, candidate.info->id, query->seed);
      g_array_append_val (others, candidate);
    }
  append_relays (query, others, targets);
  g_array_unref (others);
}

void
fanout_relay (const struct fanout_query *query, const char *from,
              GArray *targets)
{
  for (size_t i = 0; i < query->count; i++)
    {
      const struct member_info *info = query->members[i];

      if (is_reachable (query, info) && in_zone (info, query->zone)
          && strcmp (info->id, from) != 0)
        append (targets, info->id, false);
    }
}
