#include "memberset.h"

#include <string.h>

void
member_info_copy (struct member_info *to, const struct member_info *from)
{
  *to = *from;
  to->id = g_strdup (from->id);
  to->address = g_strdup (from->address);
  to->advertised_address = g_strdup (from->advertised_address);
  to->zone = g_strdup (from->zone);
  to->region = g_strdup (from->region);
}

void
member_info_clear (struct member_info *info)
{
  g_free (info->id);
  g_free (info->address);
  g_free (info->advertised_address);
  g_free (info->zone);
  g_free (info->region);
  memset (info, 0, sizeof *info);
}

static void
node_free (void *data)
{
  struct member_node *node = data;

  member_info_clear (&node->info);
  g_free (node);
}

void
memberset_init (struct memberset *set)
{
  memset (set, 0, sizeof *set);
  set->nodes = g_ptr_array_new_with_free_func (node_free);
  set->infos = g_ptr_array_new ();
}

void
memberset_clear (struct memberset *set)
{
  g_ptr_array_unref (set->infos);
  g_ptr_array_unref (set->nodes);
}

struct member_node *
memberset_at (const struct memberset *set, guint i)
{
  return g_ptr_array_index (set->nodes, i);
}

struct member_node *
memberset_random (const struct memberset *set, GRand *rand)
{
  gint32 i = g_rand_int_range (rand, 0, (gint32)set->nodes->len);

  return memberset_at (set, (guint)i);
}

/* Index of ID, or where it would be inserted.  */
static guint
lower_bound (const struct memberset *set, const char *id)
{
  guint low = 0;
  guint high = set->nodes->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;

      if (strcmp (memberset_at (set, middle)->info.id, id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

struct member_node *
memberset_find (const struct memberset *set, const char *id)
{
  guint i = lower_bound (set, id);

  if (i == set->nodes->len || strcmp (memberset_at (set, i)->info.id, id) != 0)
    return NULL;
  return memberset_at (set, i);
}

struct member_node *
memberset_add (struct memberset *set, const struct member_info *info)
{
  struct member_node *node = g_new0 (struct member_node, 1);
  guint i = lower_bound (set, info->id);

  member_info_copy (&node->info, info);
  g_ptr_array_insert (set->nodes, (gint)i, node);
  g_ptr_array_insert (set->infos, (gint)i, &node->info);
  return node;
}

void
memberset_remove (struct memberset *set, guint i)
{
  g_ptr_array_remove_index (set->infos, i);
  g_ptr_array_remove_index (set->nodes, i);
}
