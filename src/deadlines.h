/* deadlines - an intrusive min-heap of points in time.

   Ownership: nodes are embedded in the caller's structs and borrowed while
   they are in the heap.  Used by one thread at a time.  */

#ifndef PARSLEYRILL_DEADLINES_H
#define PARSLEYRILL_DEADLINES_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>

struct deadlines_node
{
  struct timespec at;
  unsigned slot; /* heap index + 1; 0: not in a heap */
};

struct deadlines
{
  GPtrArray *heap;
};

void deadlines_init (struct deadlines *deadlines);

/* Frees the heap; the nodes are not accessed.  */
void deadlines_clear (struct deadlines *deadlines);

/* Inserts NODE with the time AT, or changes its time when it is already in the
   heap.  */
void deadlines_set (struct deadlines *deadlines, struct deadlines_node *node,
                    struct timespec at);

/* Does nothing when NODE is not in a heap.  */
void deadlines_remove (struct deadlines *deadlines,
                       struct deadlines_node *node);

/* NULL when the heap is empty.  */
struct deadlines_node *deadlines_first (const struct deadlines *deadlines);

/* The earliest node if it is due at NOW, or NULL.  */
struct deadlines_node *deadlines_due (const struct deadlines *deadlines,
                                      struct timespec now);

#endif
