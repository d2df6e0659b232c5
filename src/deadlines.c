#include "deadlines.h"

#include "ts.h"

void
deadlines_init (struct deadlines *deadlines)
{
  deadlines->heap = g_ptr_array_new ();
}

void
deadlines_clear (struct deadlines *deadlines)
{
  g_ptr_array_free (deadlines->heap, TRUE);
  deadlines->heap = NULL;
}

static struct deadlines_node *
node_at (const struct deadlines *deadlines, unsigned i)
{
  return g_ptr_array_index (deadlines->heap, i);
}

static void
put (struct deadlines *deadlines, unsigned i, struct deadlines_node *node)
{
  g_ptr_array_index (deadlines->heap, i) = node;
  node->slot = i + 1;
}

static void
sift_up (struct deadlines *deadlines, unsigned i)
{
  struct deadlines_node *node = node_at (deadlines, i);

  while (i > 0)
    {
      struct deadlines_node *parent = node_at (deadlines, (i - 1) / 2);

      if (!ts_before (node->at, parent->at))
        break;
      put (deadlines, i, parent);
      i = (i - 1) / 2;
    }
  put (deadlines, i, node);
}

static void
sift_down (struct deadlines *deadlines, unsigned i)
{
  struct deadlines_node *node = node_at (deadlines, i);
  unsigned child;

  while ((child = 2 * i + 1) < deadlines->heap->len)
    {
      if (child + 1 < deadlines->heap->len
          && ts_before (node_at (deadlines, child + 1)->at,
                        node_at (deadlines, child)->at))
        child++;
      if (!ts_before (node_at (deadlines, child)->at, node->at))
        break;
      put (deadlines, i, node_at (deadlines, child));
      i = child;
    }
  put (deadlines, i, node);
}

void
deadlines_remove (struct deadlines *deadlines, struct deadlines_node *node)
{
  unsigned last = deadlines->heap->len - 1;
  struct deadlines_node *moved;
  unsigned i;

  if (node->slot == 0)
    return;
  i = node->slot - 1;
  moved = node_at (deadlines, last);
  g_ptr_array_set_size (deadlines->heap, (gint)last);
  node->slot = 0;
  if (moved == node)
    return;
  put (deadlines, i, moved);
  sift_up (deadlines, i);
  sift_down (deadlines, moved->slot - 1);
}

void
deadlines_set (struct deadlines *deadlines, struct deadlines_node *node,
               struct timespec at)
{
  deadlines_remove (deadlines, node);
  node->at = at;
  g_ptr_array_add (deadlines->heap, node);
  sift_up (deadlines, deadlines->heap->len - 1);
}

struct deadlines_node *
deadlines_first (const struct deadlines *deadlines)
{
  return deadlines->heap->len > 0 ? node_at (deadlines, 0) : NULL;
}

struct deadlines_node *
deadlines_due (const struct deadlines *deadlines, struct timespec now)
{
  struct deadlines_node *first = deadlines_first (deadlines);

  return first != NULL && !ts_before (now, first->at) ? first : NULL;
}
