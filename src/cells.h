/* cells - the service that manages the cells of the fleet.

   A service of the control thread, "cells".  A cell consists of the engines
   of one pool; the node that holds its lease runs placement for it, journals
   the orders and sends them to the engines.  This node sends its counts of
   waiting requests to the leaseholders of their cells.  */

#ifndef PARSLEYRILL_CELLS_H
#define PARSLEYRILL_CELLS_H

#include <stdbool.h>
#include <time.h>
#include <jansson.h>
#include "kernel.h"

#define CELLS_NAME "cells"

struct cells;
struct cell;

struct service *cells_new (void);
void cells_free (struct service *service);
struct cells *cells_find (struct kernel *kernel);

void cells_each (struct cells *cells,
                 void (*fn) (void *user, struct cell *cell), void *user);

/* NULL when there is none of that name.  */
struct cell *cells_cell (struct cells *cells, const char *name);

/* Whether a cell for which this node runs placement is loading MODEL; then
   sets *READY_AT to the estimated time of completion.  */
bool cells_loading (struct cells *cells, const char *model,
                    struct timespec *ready_at);

/* State of all cells as JSON, only of MODEL unless it is NULL.  The caller
   owns the result.  */
json_t *cells_describe (struct cells *cells, const char *model);

#endif
