/* place_state - what the placement decider knows; private to place*.c.

   Engines hold copies; a copy belongs to a target (model or adapter) and may
   have one order without settlement.  The accounting of memory and replicas
   is here, and so are the assertions.  */

#ifndef PARSLEYRILL_PLACE_STATE_H
#define PARSLEYRILL_PLACE_STATE_H

#include <glib.h>
#include <ck_queue.h>
#include "budget.h"
#include "gaps.h"
#include "place.h"
#include "place_policy.h"

struct place_copy;

struct place_order
{
  char *id;
  struct place_copy *copy;
  enum backend_order_type type;
  struct timespec ordered_at;
  struct timespec accepted_at;
  struct timespec resend_at;
  bool accepted;
  struct timespec started_at; /* of the load from disk */
  bool needs_fetch;           /* takes part of the weight store's budget */
};

struct place_copy
{
  CK_LIST_ENTRY (place_copy) engine_link;
  CK_LIST_ENTRY (place_copy) target_link;
  struct place_engine *engine;
  struct place_target *target;
  char *key;           /* name@version */
  const char *version; /* inside KEY */
  enum backend_copy_state state;
  uint64_t memory_mb; /* with what is kept free beside it */
  unsigned active;
  bool in_report; /* in the report being taken */
  struct timespec used_at;
  struct place_order *order; /* NULL: settled */
};

CK_LIST_HEAD (place_copy_list, place_copy);

struct place_engine
{
  char *id;
  char *address;
  char *zone;
  bool leaving; /* as listed or as reported */
  bool listed_leaving;
  bool reported;
  uint64_t epoch;
  uint64_t seq;
  struct timespec state_at; /* no later than the state of the last report */
  uint64_t memory_mb;
  uint64_t unaccounted_mb; /* in use beside the copies known */
  uint64_t held_mb;        /* by copies, all states */
  uint64_t unloading_mb;   /* of held_mb, by copies being unloaded */
  uint64_t reserved_mb;    /* within one plan */
  unsigned accelerators;
  unsigned slots;
  unsigned running;
  unsigned queued;
  unsigned loading;
  GHashTable *disk;   /* set of name@version */
  GHashTable *copies; /* key of the copy -> struct place_copy */
  struct place_copy_list list;
};

struct place_waiters
{
  CK_LIST_ENTRY (place_waiters) link;
  char *key; /* node, newline, target */
  struct place_target *target;
  unsigned waiting;
  unsigned priority;
  struct timespec deadline;
  struct timespec since;
};

CK_LIST_HEAD (place_waiters_list, place_waiters);

/* A model, or an adapter that is held or waited for.  */
struct place_target
{
  char *name;
  bool adapter;
  struct place_target *base; /* of an adapter in the document, else NULL */
  char *version;             /* wanted; NULL: not in the document */
  char *checkpoint;          /* name@version wanted; NULL likewise */
  struct gaps *gaps;         /* of a model */
  struct gaps *prior;        /* shared by its pool */
  uint64_t memory_mb;
  uint64_t kv_reserve_mb;
  unsigned max_replicas;
  unsigned min_replicas;
  unsigned priority;
  double weight;
  struct place_copy_list copies;
  unsigned copy_count;
  struct place_waiters_list waiters;
  unsigned waiting_count; /* those of a model's adapters included */
  bool in_demand;
  CK_LIST_ENTRY (place_target) demand_link;
  uint64_t adapter_mb;     /* largest adapter waited for that is not loaded */
  bool lacks_adapter_room; /* an adapter waited for finds no room beside the
                              model */
  unsigned failures;       /* loads in a row */
  struct timespec retry_at;
  const struct place_engine *avoid; /* compared only, never followed */
  double key;                       /* of the order of loads */
  char *reason;
};

CK_LIST_HEAD (place_target_list, place_target);

struct place
{
  char *cell;
  const struct doc *doc;
  bool (*mine) (void *user, const struct doc_model *model);
  void *user;
  const struct place_policy *policy;
  GRand *rand;
  struct timespec wall_offset;
  struct timespec started_at;
  struct timespec slow_plan_at; /* last slow plan */
  uint64_t fence;
  uint64_t orders;
  struct budget store_budget;
  double load_slowdown;   /* measured time of a load from disk over nominal */
  double load_time_ratio; /* time of a whole load over its estimate, at most 1;
                  for what waiting requests are told, not for choices */
  unsigned adapters_at_once;
  unsigned adapter_loads_in_flight;
  unsigned unreported_engines; /* engines */
  GHashTable *engines;         /* id -> struct place_engine */
  GHashTable *targets;         /* name -> struct place_target */
  GHashTable *pool_gaps;       /* pool -> struct gaps */
  GHashTable *waiters;         /* key -> struct place_set_waiting */
  GHashTable *unsettled;       /* id -> struct place_order, owned */
  struct place_target_list demanded;
  struct action_list settled; /* to be handed out with the next plan */
};

/* place_target.c */
/* Made when there is none; ADAPTER says what a new one is.  */
struct place_target *place_target_get (struct place *place, const char *name,
                                       bool adapter);
/* The target that callers name; NULL when the document lacks it.  */
struct place_target *place_target_find (struct place *place, const char *name);
void place_target_update_demand (struct place *place,
                                 struct place_target *target);
void place_target_free (void *pointer);
void place_targets_from_doc (struct place *place);
/* Forgets adapters that are neither held nor waited for.  */
void place_targets_prune (struct place *place);

/* place_state.c */
double place_wall_s (const struct place *place, struct timespec now);

struct place_copy *place_copy_new (struct place_engine *engine,
                                   struct place_target *target,
                                   const char *version, uint64_t memory_mb,
                                   enum backend_copy_state state,
                                   struct timespec now);
void place_copy_set_state (struct place_copy *copy,
                           enum backend_copy_state state);
void place_copy_raise_memory (struct place_copy *copy, uint64_t memory_mb);
void place_copy_free (struct place *place, struct place_copy *copy);

/* The copy's order is over; OK when it did what it was to do.  */
void place_order_finish (struct place *place, struct place_order *order,
                         bool ok);

/* The load of the order was done at AT.  */
void place_order_measure_load (struct place *place, struct place_order *order,
                               struct timespec at);

/* The checkpoint of the order has come from the store at AT.  */
void place_order_measure_fetch (struct place *place, struct place_order *order,
                                struct timespec at);

uint64_t place_engine_used (const struct place_engine *engine);
uint64_t place_engine_free (const struct place_engine *engine);
bool place_copy_usable (const struct place_copy *copy);
bool place_copy_current (const struct place_copy *copy);

/* Replicas that may exist now: one more while one is being replaced.  */
unsigned place_replica_limit (const struct place_target *target);

/* Whether a further one keeps to that.  An engine that has not reported may
   hold one of each model.  */
bool place_may_add_replica (const struct place *place,
                            const struct place_target *target);

/* Ends the process when an invariant is broken.  */
void place_check_invariants (const struct place_engine *engine,
                             const struct place_target *target);

/* place_order.c */
void place_emit_load (struct place *place, struct place_engine *engine,
                      struct place_target *target, struct timespec now,
                      struct action_list *out, const char *reason);
void place_emit_unload (struct place *place, struct place_copy *copy,
                        struct timespec now, struct action_list *out,
                        const char *reason);
void place_emit_resend (struct place *place, struct place_order *order,
                        struct timespec now, struct action_list *out);
void place_queue_settled (struct place *place, const struct place_order *order,
                          bool ok);
void place_order_new (struct place *place, struct place_copy *copy,
                      const char *id, enum backend_order_type type,
                      struct timespec now);

/* place_estimate.c */
/* Seconds at full speed.  */
double place_nominal_fetch_s (uint64_t memory_mb);
double place_nominal_load_s (uint64_t memory_mb);
/* Seconds as measured lately.  */
double place_fetch_s (const struct place *place, uint64_t memory_mb);
double place_load_s (const struct place *place, uint64_t memory_mb);
bool place_on_disk (const struct place_engine *engine,
                    const struct place_target *target);
/* Until TARGET, held nowhere, would be loaded.  */
double place_reload_s (const struct place *place,
                       const struct place_target *target);
double place_keep_value (const struct place *place,
                         const struct place_copy *copy, struct timespec now);
double place_prewarm_value (const struct place *place,
                            const struct place_target *target,
                            struct timespec now);

/* place_plan.c */
struct place_demand place_demand_of (const struct place *place,
                                     const struct place_target *target,
                                     struct timespec now);
void place_plan (struct place *place, struct timespec now,
                 struct action_list *out);

/* place_idle.c */
/* Whether COPY gets no new work because it is to go.  */
bool place_copy_surplus (const struct place_copy *copy);
/* Orders COPY off its engine, its adapters first.  */
void place_unload (struct place *place, struct place_copy *copy,
                   struct timespec now, struct action_list *out,
                   const char *reason);
void place_unload_idle (struct place *place, struct timespec now,
                        struct action_list *out);
void place_prewarm (struct place *place, struct timespec now,
                    struct action_list *out);

/* place_choose.c */
/* Orders idle models off ENGINE until NEED_MB will be free, the least
   valuable first; false and nothing ordered when that cannot be.  */
bool place_make_room (struct place *place, struct place_engine *engine,
                      uint64_t need_mb, struct timespec now,
                      struct action_list *out, const char *reason);

/* Orders a load for TARGET on the best engine, or makes room for it; true
   when a load was ordered.  */
bool place_choose (struct place *place, struct place_target *target,
                   bool may_evict, struct timespec now,
                   struct action_list *out, const char *cause);

#endif
