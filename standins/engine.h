/* engine - inside of the engine stand-in: copies in memory, and answers.

   The text of an answer is a function of the named model or adapter, the
   prompt and the count of tokens alone, so that an answer that came by any
   way can be compared byte for byte with one got directly.  */

#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "fetch.h"
#include "role.h"

enum copy_state
{
  COPY_LOADING,
  COPY_LOADED
};

/* A model's version or an adapter in accelerator memory.  */
struct copy
{
  CK_LIST_ENTRY (copy) link;
  struct loop_timer timer;
  struct engine_role *role;
  char *name;
  char *version;
  char *model; /* base model of an adapter, else NULL */
  char *order_id;
  struct httpc_call *fetch;
  enum copy_state state;
  int64_t memory_mb;
  unsigned active;
};

struct run
{
  CK_LIST_ENTRY (run) link;
  struct standin_call *call;
  struct copy *model;
  struct copy *adapter;
  struct timespec first_at;
  uint64_t seed;
  char *name; /* as JSON text */
  GString *text;
  int64_t from; /* token that it resumed at, else 0 */
  int64_t at;
  int64_t end;
  unsigned priority;
  bool chat;
  bool stream;
  bool begun;
  bool waiting; /* for a slot */
};

CK_LIST_HEAD (copy_list, copy);
CK_LIST_HEAD (run_list, run);

struct engine_role
{
  struct standin standin; /* first */
  struct role_engine_options options;
  struct copy_list copies;
  struct run_list runs;
  GQueue *queue;        /* struct run waiting for a slot, by priority */
  GHashTable *orders;   /* order id -> struct order_answer */
  GHashTable *places;   /* "name@version" -> place name */
  GHashTable *prefixes; /* hash of a prompt's beginning -> itself */
  GHashTable *run_counts;
  GQueue *settled;      /* order ids, newest last */
  GQueue *cache_events; /* json_t, newest last */
  struct loop_timer tick;
  struct loop_timer snapshot_timer;
  json_t *snapshot;
  struct timespec snapshot_at;
  uint64_t epoch;
  uint64_t seq;
  uint64_t cache_seq;
  char *working_role; /* "mixed", "prefill" or "decode" */
  uint64_t fence;
  int64_t violations; /* orders that would have overcommitted the memory */
  unsigned running;
  bool leaving;
};

/* engine_copy.c */
struct copy *engine_find (const struct engine_role *role, const char *name,
                          bool adapter);
int64_t engine_memory_used (const struct engine_role *role);
void engine_order (struct engine_role *role, struct standin_call *call);
void engine_copies_free (struct engine_role *role);
double engine_fault_ms (const struct engine_role *role, const char *fault,
                        double otherwise);

/* engine_run.c */
void engine_complete (struct engine_role *role, struct standin_call *call,
                      bool chat);
void engine_gone (struct engine_role *role, struct standin_call *call);
void engine_prefixes (struct engine_role *role, struct standin_call *call);
void engine_tick (struct loop_timer *timer);

/* engine_report.c */
json_t *engine_report (struct engine_role *role);
void engine_snapshot (struct loop_timer *timer);

#endif
