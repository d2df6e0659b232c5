/* nodetable - the nodes of this system, in a table of the platform's store.

   Each node registers its peer address there, and connects to the others that
   it finds there.

   Part of the service "listing"; one thread.  Ownership: CORE and LINKS are
   borrowed from nodetable_start to nodetable_stop.  */

#ifndef PARSLEYRILL_NODETABLE_H
#define PARSLEYRILL_NODETABLE_H

#include <stdbool.h>
#include <stddef.h>
#include "core.h"
#include "links.h"

struct nodetable
{
  struct core *core;
  struct links *links;
  struct loop_timer timer;
  bool registered;  /* this node's own row is written */
  size_t count;     /* rows when last listed; 0: not yet */
  GPtrArray *names; /* of the nodes when last listed; NULL: not yet */
};

/* NODES must be zeroed.  */
void nodetable_start (struct nodetable *nodes, struct core *core,
                      struct links *links);
void nodetable_stop (struct nodetable *nodes);

/* Writes this node's row again, soon: the table was restored from a copy.  */
void nodetable_register_again (struct nodetable *nodes);

/* Removes this node's row, at a planned stop.  */
void nodetable_unregister (struct nodetable *nodes);

#endif
