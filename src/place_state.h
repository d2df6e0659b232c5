/* place_state - internal state of placement; private to place*.c.

   Engines hold copies.  A copy belongs to a target (model or adapter) and has
   at most one unsettled order.  Accounts for memory and replicas and checks
   their invariants.  */

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
  struct timespec started_at; /* start of the load from disk */
  bool needs_fetch;           /* counted in the budget of the weight store */
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
  uint64_t memory_mb; /* including the KV cache reserve */
  unsigned active;
  bool in_report; /* listed in the report being applied */
  struct timespec used_at;
  struct place_order *order; /* NULL: settled */
};

CK_LIST_HEAD (place_copy_list, place_copy);

struct place_engine
{
  char *id;
  char *address;
  char *zone;
  bool leaving;        /* according to the instance list or the engine */
  bool listed_leaving; /* according to the instance list */
  bool reported;
  uint64_t epoch;
  uint64_t seq;
  struct timespec state_at; /* the last report is of this time or later */
  uint64_t memory_mb;       /* total */
  uint64_t unaccounted_mb;  /* in use, but not by a reported copy */
  uint64_t held_mb;         /* by copies in any state */
  uint64_t unloading_mb;    /* part of held_mb that is being unloaded */
  uint64_t reserved_mb;     /* for later loads of the current plan */
  unsigned accelerators;
  unsigned slots;
  unsigned running;
  unsigned queued;
  unsigned loading;
  GHashTable *disk;   /* set of name@version */
  GHashTable *copies; /* key of the copy -> struct place_copy */
  struct place_copy_list list;
};

/* Requests that wait for a target at one node.  */
struct place_waiters
{
  CK_LIST_ENTRY (place_waiters) link;
  char *key; /* node, newline, target */
  struct place_target *target;
  unsigned waiting;
  unsigned priority;
  struct timespec deadline;
  struct timespec since; /* start of waiting */
};

CK_LIST_HEAD (place_waiters_list, place_waiters);

/* A model, or an adapter that is loaded or requested.  */
struct place_target
{
  char *name;
  bool adapter;
  struct place_target *base; /* of an adapter in the document, else NULL */
  char *version;             /* in the document; NULL: not listed there */
  char *checkpoint;          /* name@version; NULL with VERSION */
  struct gaps *gaps;         /* NULL for an adapter */
  struct gaps *prior;        /* shared by the models of a pool */
  uint64_t memory_mb;
  uint64_t kv_reserve_mb;
  unsigned max_replicas;
  unsigned min_replicas;
  unsigned priority; /* higher is more urgent */
  double weight;     /* of cold-start time, 0 to 1 */
  struct place_copy_list copies;
  unsigned copy_count;
  struct place_waiters_list waiters;
  unsigned waiting_count; /* requests, including those for its adapters */
  bool in_demand;         /* has waiting requests or a minimum of replicas */
  CK_LIST_ENTRY (place_target) demand_link;
  uint64_t adapter_mb;      /* largest requested adapter that is not loaded */
  bool lacks_adapter_room;  /* no loaded replica has room for a requested
                               adapter */
  unsigned failures;        /* consecutive failed loads */
  struct timespec retry_at; /* no load before */
  /* Engine of the last failed load.  May have been freed: compare only.  */
  const struct place_engine *avoid;
  double load_order; /* see load_order_key */
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
  struct timespec idle_pass_at; /* last place_unload_idle and place_prewarm */
  uint64_t fence;
  uint64_t orders; /* number of ids given to orders under FENCE */
  struct budget store_budget;
  double load_slowdown; /* mean measured / nominal load time from disk */
  /* Mean ratio of measured to estimated time from the order to the loaded
     model, at most 1.  Used only for the estimated ready time, not for
     decisions.  */
  double load_time_ratio;
  unsigned adapters_at_once;
  unsigned adapter_loads_in_flight;
  unsigned unreported_engines;
  GHashTable *engines;               /* id -> struct place_engine */
  GHashTable *targets;               /* name -> struct place_target */
  GHashTable *pool_gaps;             /* pool -> struct gaps */
  GHashTable *waiters;               /* key -> struct place_waiters */
  GHashTable *unsettled;             /* id -> struct place_order, owned */
  struct place_target_list demanded; /* targets with IN_DEMAND set */
  struct action_list settled;        /* emitted with the next plan */
};

/* place_target.c */
/* Creates the target when it is missing, as an adapter if ADAPTER.  */
struct place_target *place_target_get (struct place *place, const char *name,
                                       bool adapter);
/* The target NAME, also of an adapter not loaded yet; NULL when the document
   lacks it.  */
struct place_target *place_target_find (struct place *place, const char *name);
/* Adds TARGET to the list of targets in demand or removes it.  */
void place_target_update_demand (struct place *place,
                                 struct place_target *target);
void place_target_free (void *pointer);
void place_targets_from_doc (struct place *place);
/* Removes adapters that are neither loaded nor requested.  */
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

/* Emits PLACE_SETTLED with the next plan and frees ORDER; OK when it
   succeeded.  */
void place_order_finish (struct place *place, struct place_order *order,
                         bool ok);

/* The load finished at AT: updates the measured load times.  */
void place_order_measure_load (struct place *place, struct place_order *order,
                               struct timespec at);

/* The fetch from the weight store finished at AT: updates its budget.  */
void place_order_measure_fetch (struct place *place, struct place_order *order,
                                struct timespec at);

uint64_t place_engine_used (const struct place_engine *engine);
uint64_t place_engine_free (const struct place_engine *engine);
bool place_copy_usable (const struct place_copy *copy);
bool place_copy_current (const struct place_copy *copy);

/* Maximum number of replicas: one more than max_replicas while one is being
   replaced.  */
unsigned place_replica_limit (const struct place_target *target);

/* Whether one more replica stays within the limit.  Counts one replica for
   each engine that has not reported, since it may hold one.  */
bool place_may_add_replica (const struct place *place,
                            const struct place_target *target);

/* Aborts the process when an invariant is violated.  */
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
/* Nominal durations, at full speed.  */
double place_nominal_fetch_s (uint64_t memory_mb);
double place_nominal_load_s (uint64_t memory_mb);
/* Durations scaled by the measured slowdown.  */
double place_fetch_s (const struct place *place, uint64_t memory_mb);
double place_load_s (const struct place *place, uint64_t memory_mb);
bool place_on_disk (const struct place_engine *engine,
                    const struct place_target *target);
/* Seconds to load TARGET on an engine that does not hold it, with a fetch if
   no engine has it on disk.  */
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
/* Whether COPY is no longer needed: it gets no new requests and is unloaded
   when idle.  */
bool place_copy_surplus (const struct place_copy *copy);
/* Emits orders to unload COPY, its adapters first.  */
void place_unload (struct place *place, struct place_copy *copy,
                   struct timespec now, struct action_list *out,
                   const char *reason);
void place_unload_idle (struct place *place, struct timespec now,
                        struct action_list *out);
void place_prewarm (struct place *place, struct timespec now,
                    struct action_list *out);

/* place_choose.c */
/* Unloads idle models from ENGINE, least valuable first, until NEED_MB will
   be free.  Returns false, with nothing ordered, when that is impossible.  */
bool place_make_room (struct place *place, struct place_engine *engine,
                      uint64_t need_mb, struct timespec now,
                      struct action_list *out, const char *reason);

/* Orders a load of TARGET on the engine of least cost, or makes room for it
   there.  MAY_EVICT: idle models may be unloaded for it.  Returns true when a
   load was ordered.  */
bool place_load_on_best_engine (struct place *place,
                                struct place_target *target, bool may_evict,
                                struct timespec now, struct action_list *out,
                                const char *cause);

#endif
