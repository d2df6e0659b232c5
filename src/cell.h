/* cell - this node's part in one cell.

   A cell is the set of engines of one pool.  Takes part in the lease of the
   cell and, while this node holds it, runs the order journal and placement.

   Control thread only.  Ownership: strings are copied; CORE is borrowed.  */

#ifndef PARSLEYRILL_CELL_H
#define PARSLEYRILL_CELL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <jansson.h>
#include "backend.h"
#include "core.h"
#include "doc.h"
#include "fleet.h"

struct cell;

struct cell_options
{
  struct core *core;
  struct fleet *fleet;
  const char *name;  /* of the cell */
  const char *pool;  /* of the cell's engines */
  bool checks_fence; /* the engines refuse outdated fencing tokens */
  /* Called when this node has released the lease: the next candidate may
     acquire it.  */
  void (*released) (void *user, struct cell *cell);
  void *user;
};

struct cell *cell_new (const struct cell_options *options);

/* Calls that are pending complete later; their results are ignored.  */
void cell_free (struct cell *cell);

const char *cell_name (const struct cell *cell);

/* Leaseholder as far as this node knows; NULL: unknown.  */
const char *cell_holder (const struct cell *cell);

const char *cell_pool (const struct cell *cell);

/* Fencing token of the lease; 0: not held by this node.  */
uint64_t cell_fence (const struct cell *cell);

/* Peer NODE announced that it holds the lease with fencing token FENCE.  */
void cell_holder_announced (struct cell *cell, const char *node,
                            uint64_t fence);

/* Whether this node runs placement: it holds the lease and has read the
   journal.  */
bool cell_runs_placement (const struct cell *cell);

/* Lease events, see lease.h.  */
void cell_set_rank (struct cell *cell, unsigned rank);
void cell_lease_hint (struct cell *cell);
void cell_holder_dead (struct cell *cell, const char *node);
void cell_release_lease (struct cell *cell);

/* Placement events, see place.h.  The document and the store limits are kept
   for a later lease; the other events have no effect unless
   cell_runs_placement.  */
void cell_set_doc (struct cell *cell, struct doc *doc);
void cell_set_store_share (struct cell *cell, double loads_per_s,
                           unsigned at_once, unsigned adapters_at_once);
void cell_engine_changed (struct cell *cell,
                          const struct fleet_engine *engine);
void cell_engine_removed (struct cell *cell,
                          const struct fleet_engine *engine);
void cell_engine_reported (struct cell *cell,
                           const struct fleet_report *posted);
void cell_request_arrived (struct cell *cell, const char *target,
                           unsigned count);
void cell_set_waiting (struct cell *cell, const char *node, const char *target,
                       unsigned waiting, struct timespec deadline,
                       unsigned priority);
void cell_node_dead (struct cell *cell, const char *node);

/* Whether MODEL is being loaded; then sets *READY_AT to the estimated time of
   completion.  */
bool cell_loading (struct cell *cell, const char *model,
                   struct timespec *ready_at);

/* State as JSON for the admin interface, only of MODEL unless it is NULL.
   The caller owns the result.  */
json_t *cell_describe (struct cell *cell, const char *model);

#endif
