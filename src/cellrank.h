/* cellrank - ranks nodes as candidates for the leases of cells.

   Pure function, any thread.  */

#ifndef PARSLEYRILL_CELLRANK_H
#define PARSLEYRILL_CELLRANK_H

#include <stddef.h>

/* Sets RANKS[i] to the rank of SELF, from 0, among the candidates for
   CELLS[i], or UINT_MAX when SELF is not in NODES.  The order is that of
   rendezvous hashing, except that a node ranks first for at most an even
   share of the cells, rounded up.  CELLS and NODES must be sorted: nodes with
   the same lists compute the same ranks.  */
void cellrank (const char *const *cells, size_t cell_count,
               const char *const *nodes, size_t node_count, const char *self,
               unsigned *ranks);

#endif
