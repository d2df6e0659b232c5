/* place - decides which engine of one cell holds which model and adapter.

   A state machine: typed event and NOW in, struct place_action out.  It does
   no I/O and reads no clock; one thread at a time.

   Memory and the replica count of an order are reserved from the moment it
   is emitted until a report asked for after the order's answer settles it,
   or place_order_settled says that it was surely not carried out.  An order
   without an answer is emitted again under the same id (RESENT is set).

   The caller journals an order before it is first sent and keeps the entry
   until PLACE_SETTLED.  At most one attempt of an order is open at a time,
   none after its answer or PLACE_SETTLED.  A successor gets the entries left
   through place_restore, before its first report.

   Ownership: the document is borrowed until the next place_doc or
   place_free; strings of events are copied; strings of actions belong to the
   action; strings of views are valid during the callback.  */

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
  const struct doc *doc; /* NULL: none yet */
  /* Whether MODEL belongs to the cell; NULL: all do.  */
  bool (*mine) (void *user, const struct doc_model *model);
  void *user;
  uint32_t seed;
  const struct place_policy *policy; /* borrowed; NULL: the standard one */
  struct timespec now;         /* reports of earlier states are ignored */
  struct timespec wall_offset; /* add to NOW for the time since the Epoch */
  uint64_t fence;              /* fencing token of the cell's lease */
  double loads_per_s;          /* share of the weight store */
  unsigned loads_at_once;      /* share of the weight store, full speed */
  unsigned adapters_at_once;   /* share of the adapter fetches */
};

enum place_action_type
{
  PLACE_ORDER,  /* journal it unless RESENT, then send it */
  PLACE_SETTLED /* the order is over: its journal entry may go */
};

struct place_action
{
  struct action action;
  struct backend_order order; /* strings owned by the action */
  bool resent;                /* emitted before under the same id */
  bool ok;                    /* PLACE_SETTLED: it did what it was to do */
  char *reason;               /* key=value pairs: the figures compared */
};

struct place *place_new (const struct place_options *options);
void place_free (struct place *place);

/* A new document; MINE of the options is asked again for each model.  */
void place_doc (struct place *place, const struct doc *doc,
                struct timespec now, struct action_list *out);

/* The fencing token for orders from now on.  */
void place_fence (struct place *place, uint64_t fence);

/* The share of the weight store that this cell may use.  */
void place_share (struct place *place, double loads_per_s,
                  unsigned loads_at_once, unsigned adapters_at_once,
                  struct timespec now, struct action_list *out);

void place_engine_seen (struct place *place, const char *engine,
                        const char *address, const char *zone, bool leaving,
                        struct timespec now, struct action_list *out);

/* The engine is gone for good, with all that it held.  */
void place_engine_gone (struct place *place, const char *engine,
                        struct timespec now, struct action_list *out);

/* ASKED is when the report was asked for.  Reports of engines never seen,
   and reports older than one already taken, are ignored.  */
void place_report (struct place *place, const struct backend_report *report,
                   struct timespec asked, struct timespec now,
                   struct action_list *out);

/* COUNT calls for TARGET (model or adapter) arrived.  */
void place_request_arrived (struct place *place, const char *target,
                            unsigned count, struct timespec now);

/* At NODE, WAITING requests wait for TARGET; the earliest has DEADLINE.
   Replaces what NODE said before about TARGET.  */
void place_set_waiting (struct place *place, const char *node,
                        const char *target, unsigned waiting,
                        struct timespec deadline, unsigned priority,
                        struct timespec now, struct action_list *out);
void place_node_gone (struct place *place, const char *node);

/* OK: the engine accepted the order; reports tell the rest.  Not OK: it was
   surely not carried out (refused, fenced, never sent).  Not called while
   the outcome is unknown.  */
void place_order_settled (struct place *place, const char *order_id, bool ok,
                          const char *why, struct timespec now,
                          struct action_list *out);

/* An unsettled intent of a predecessor: it is reserved and emitted again
   under its own id.  */
void place_restore (struct place *place, const struct backend_order *order,
                    struct timespec now, struct action_list *out);

void place_tick (struct place *place, struct timespec now,
                 struct action_list *out);

/* When the next tick is wanted.  */
struct timespec place_next (const struct place *place, struct timespec now);

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
  bool unloading; /* gets no new work */
  bool leaving;   /* neither */
};

/* A model, or an adapter that is on an engine or waited for.  */
struct place_view
{
  const char *name;
  const char *adapter; /* NULL for a model */
  const char *version; /* wanted; NULL when the document lacks it */
  enum place_state state;
  struct timespec ready_at; /* estimate, when not loaded */
  const struct place_holder *holders;
  size_t holder_count;
  unsigned waiting;
  const char *reason; /* of the last decision; "" */
};

void place_each (const struct place *place, struct timespec now,
                 void (*fn) (void *user, const struct place_view *view),
                 void *user);

/* Orders without settlement, and bytes held; for metrics.  */
size_t place_unsettled (const struct place *place);

#endif
