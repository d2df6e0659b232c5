/* place - placement of models and adapters on the engines of one cell.

   A state machine without I/O: each function takes an event and the time NOW
   and appends struct place_action to OUT.  It reads no clock.  Calls must not
   overlap.

   An order reserves its memory and counts as a replica from the moment it is
   emitted until it is settled, that is, until a report requested after the
   order was acknowledged shows its result, or place_order_settled says that it
   was not carried out.  An unacknowledged order is emitted again with the same
   id and RESENT set.

   The caller writes an order to the journal before sending it the first time
   and keeps the entry until PLACE_SETTLED.  At most one attempt to send an
   order may be in progress at a time, and none after the order was
   acknowledged or settled.  After a failover the new node passes the
   remaining journal entries to place_restore before the first report.

   Ownership: the document is borrowed until the next place_doc or
   place_free; strings in events are copied; strings in actions belong to the
   action; strings in views are valid during the callback.  */

#ifndef PARSLEYRILL_PLACE_H
#define PARSLEYRILL_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "backend.h"
#include "doc.h"

struct place;
struct place_policy;

struct place_options
{
  const char *cell;
  const struct doc *doc; /* NULL: not loaded yet */
  /* Whether MODEL belongs to CELL; NULL: all models do.  */
  bool (*mine) (void *user, const struct doc_model *model);
  void *user;
  uint32_t seed;
  const struct place_policy *policy; /* borrowed; NULL: standard policy */
  struct timespec now;         /* reports of earlier states are ignored */
  struct timespec wall_offset; /* wall clock minus monotonic clock */
  uint64_t fence;              /* fencing token of the cell's lease */
  double loads_per_s;          /* fetch rate from the weight store */
  unsigned loads_at_once;      /* concurrent fetches at full speed */
  unsigned adapters_at_once;   /* concurrent adapter loads */
};

enum place_action_type
{
  PLACE_ORDER,  /* journal it unless RESENT, then send it */
  PLACE_SETTLED /* finished: its journal entry may be deleted */
};

struct place_action
{
  struct action action;
  struct backend_order order; /* strings owned by the action */
  bool resent;                /* emitted before with the same id */
  bool ok;                    /* PLACE_SETTLED: it succeeded */
  char *reason;               /* key=value pairs: inputs of the decision */
};

struct place *place_new (const struct place_options *options);
void place_free (struct place *place);

/* Replaces the document and calls options.mine again for each model.  */
void place_doc (struct place *place, const struct doc *doc,
                struct timespec now, struct action_list *out);

/* Sets the fencing token of subsequent orders.  */
void place_fence (struct place *place, uint64_t fence);

/* Sets the limits on fetches from the weight store and on adapter loads.  */
void place_share (struct place *place, double loads_per_s,
                  unsigned loads_at_once, unsigned adapters_at_once,
                  struct timespec now, struct action_list *out);

/* Adds or updates an engine of the instance list.  */
void place_engine_seen (struct place *place, const char *engine,
                        const char *address, const char *zone, bool leaving,
                        struct timespec now, struct action_list *out);

/* The engine has been removed and will not come back.  */
void place_engine_gone (struct place *place, const char *engine,
                        struct timespec now, struct action_list *out);

/* ASKED is when the report was requested.  Ignores reports of unknown engines
   and those that are older than one already applied.  */
void place_report (struct place *place, const struct backend_report *report,
                   struct timespec asked, struct timespec now,
                   struct action_list *out);

/* COUNT requests for TARGET (model or adapter) arrived.  */
void place_request_arrived (struct place *place, const char *target,
                            unsigned count, struct timespec now);

/* At NODE, WAITING requests wait for TARGET; the earliest has DEADLINE.
   Replaces the previous count of NODE for TARGET.  */
void place_set_waiting (struct place *place, const char *node,
                        const char *target, unsigned waiting,
                        struct timespec deadline, unsigned priority,
                        struct timespec now, struct action_list *out);
/* NODE has failed or left: drops its waiting requests.  */
void place_node_gone (struct place *place, const char *node);

/* OK: the engine accepted the order; later reports show its progress.  Not
   OK: the order was definitely not carried out (refused, fenced, never sent).
   Must not be called while the outcome is unknown.  */
void place_order_settled (struct place *place, const char *order_id, bool ok,
                          const char *why, struct timespec now,
                          struct action_list *out);

/* Restores an unsettled order of a previous leaseholder: it is reserved and
   emitted again with its original id.  */
void place_restore (struct place *place, const struct backend_order *order,
                    struct timespec now, struct action_list *out);

void place_tick (struct place *place, struct timespec now,
                 struct action_list *out);

/* Time of the next place_tick.  */
struct timespec place_next (const struct place *place, struct timespec now);

/* State of a copy, or of a target: that of its most advanced usable copy.  */
enum place_state
{
  PLACE_COLD,
  PLACE_LOADING,
  PLACE_LOADED
};

/* One copy of a model or adapter on an engine.  */
struct place_holder
{
  const char *engine;
  const char *address;
  const char *version;
  enum place_state state;
  bool unloading; /* accepts no new requests */
  bool leaving;   /* its engine accepts no new requests */
};

/* A model, or an adapter that is loaded or requested.  */
struct place_view
{
  const char *name;
  const char *adapter; /* NULL for a model */
  const char *version; /* in the document; NULL when it lacks the target */
  enum place_state state;
  struct timespec ready_at; /* estimate, when not loaded */
  const struct place_holder *holders;
  size_t holder_count;
  unsigned waiting;
  const char *reason; /* of the last decision; "" when there was none */
};

void place_each (const struct place *place, struct timespec now,
                 void (*fn) (void *user, const struct place_view *view),
                 void *user);

/* Number of unsettled orders.  */
size_t place_unsettled (const struct place *place);

#endif
