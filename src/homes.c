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
  struct timespec served_at; /* last */
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
        node->linked = node->serves = false;
      }
  for (size_t i = 0; i < count; i++)
    {
      node = get_node (homes, nodes[i].name, now);
      node->linked = nodes[i].linked;
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
