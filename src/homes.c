#include "homes.h"

#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "lookup.h"
#include "ts.h"

struct node
{
  bool linked;
  bool serves;
  bool served;               /* before the current homes_set */
  bool was_linked;           /* the same */
  struct timespec served_at; /* last */
  struct timespec linked_at; /* since when, if LINKED */
};

struct homes
{
  char *self;
  GHashTable *nodes; /* name -> struct node */
  struct timespec changed_at;
};

struct homes *
homes_new (const char *node)
{
  struct homes *homes = g_new0 (struct homes, 1);

  homes->self = g_strdup (node);
  homes->nodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return homes;
}

void
homes_free (struct homes *homes)
{
  if (homes == NULL)
    return;
  g_hash_table_unref (homes->nodes);
  g_free (homes->self);
  g_free (homes);
}

static struct node *
get_node (struct homes *homes, const char *name, struct timespec now)
{
  struct node *node = g_hash_table_lookup (homes->nodes, name);

  if (node == NULL)
    {
      node = g_new0 (struct node, 1);
      node->served_at = now;
      g_hash_table_insert (homes->nodes, g_strdup (name), node);
    }
  return node;
}

void
homes_set (struct homes *homes, const struct homes_node *nodes, size_t count,
           struct timespec now)
{
  struct timespec forgotten = ts_add_ms (now, -HOMES_MEMORY_MS);
  GHashTableIter iter;
  struct node *node;

  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&node))
    if (ts_before (node->served_at, forgotten))
      g_hash_table_iter_remove (&iter);
    else
      {
        node->served = node->serves;
        node->was_linked = node->linked;
        node->linked = node->serves = false;
      }
  for (size_t i = 0; i < count; i++)
    {
      node = get_node (homes, nodes[i].name, now);
      node->linked = nodes[i].linked;
      if (node->linked && !node->was_linked)
        node->linked_at = now;
      node->serves = nodes[i].serves;
      if (node->serves)
        node->served_at = now;
      if (node->serves != node->served)
        homes->changed_at = now;
    }
}

struct timespec
homes_changed_at (const struct homes *homes)
{
  return homes->changed_at;
}

const char *
homes_find (const struct homes *homes, const char *key)
{
  const char *home = homes->self;
  uint64_t most = 0;
  GHashTableIter iter;
  const struct node *node;
  const char *name;

  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&node))
    {
      uint64_t weight = lookup_weight (key, name, 0);

      if (!node->serves || weight < most)
        continue;
      home = name;
      most = weight;
    }
  return home;
}

/* Inserts NAME into the COUNT names of OUT, by WEIGHTS, highest first. Returns
   their number, at most MAX.  */
static size_t
insert_home (const char **out, uint64_t *weights, size_t count, size_t max,
             const char *name, uint64_t weight)
{
  size_t at = count;

  while (at > 0 && weights[at - 1] < weight)
    at--;
  if (at == max)
    return count;
  count = MIN (count + 1, max);
  for (size_t i = count - 1; i > at; i--)
    {
      out[i] = out[i - 1];
      weights[i] = weights[i - 1];
    }
  out[at] = name;
  weights[at] = weight;
  return count;
}

size_t
homes_first (const struct homes *homes, const char *key, const char **out,
             size_t max)
{
  uint64_t weights[HOMES_FIRST_MAX];
  size_t count = 0;
  GHashTableIter iter;
  const struct node *node;
  const char *name;

  max = MIN (max, HOMES_FIRST_MAX);
  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&node))
    if (node->serves)
      count = insert_home (out, weights, count, max, name,
                           lookup_weight (key, name, 0));
  if (count == 0)
    out[count++] = homes->self;
  return count;
}

bool
homes_is_self (const struct homes *homes, const char *node)
{
  return strcmp (homes->self, node) == 0;
}

bool
homes_is_linked (const struct homes *homes, const char *node)
{
  const struct node *found = g_hash_table_lookup (homes->nodes, node);

  return found != NULL && found->linked;
}

double
homes_linked_share (const struct homes *homes)
{
  GHashTableIter iter;
  const struct node *node;
  unsigned linked = 0;

  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&node))
    linked += node->linked;
  return MAX (linked, 1) * homes_own_share (homes);
}

double
homes_own_share (const struct homes *homes)
{
  return 1.0 / MAX (g_hash_table_size (homes->nodes), 1);
}

double
homes_phase (const struct homes *homes, const char *key)
{
  return (double)lookup_weight (key, homes->self, 1) / (double)UINT64_MAX;
}

double
homes_settled_share (const struct homes *homes, int64_t age_ms,
                     struct timespec now)
{
  GHashTableIter iter;
  const struct node *node;
  const char *name;
  unsigned settled = 0;

  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&node))
    settled += homes_is_self (homes, name)
               || (node->linked
                   && !ts_before (now, ts_add_ms (node->linked_at, age_ms)));
  return MAX (settled, 1) * homes_own_share (homes);
}

double
homes_rank (const struct homes *homes)
{
  GHashTableIter iter;
  const char *name;
  unsigned before = 0;

  g_hash_table_iter_init (&iter, homes->nodes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    before += strcmp (name, homes->self) < 0;
  return (before + 1) * homes_own_share (homes);
}
