/* engine - internals of the simulated model engine: copies in accelerator
   memory, orders, completions and reports.

   The text of an answer depends only on the model or adapter, the prompt and
   the number of tokens, so that an answer received through the system can be
   compared byte for byte with one requested from the engine directly.  */

#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "fetch.h"
#include "role.h"

enum copy_state
{
  COPY_LOADING,
  COPY_LOADED
};

/* A version of a model or adapter that is in accelerator memory or is being
   loaded into it.  */
struct copy
{
  CK_LIST_ENTRY (copy) link;
  struct loop_timer timer; /* end of the load */
  struct engine_role *role;
  char *name;
  char *version;
  char *model;              /* base model of an adapter; NULL for a model */
  char *order_id;           /* of the load */
  struct httpc_call *fetch; /* from the weight store; NULL when none runs */
  enum copy_state state;
  int64_t memory_mb;
  unsigned active; /* completions running or queued */
};

/* A completion request that is running or waits for a slot.  */
struct completion
{
  CK_LIST_ENTRY (completion) link;
  struct standin_call *call;
  struct copy *model;
  struct copy *adapter;
  struct timespec first_token_at;
  uint64_t seed;
  char *model_json;    /* the requested model, as JSON text */
  GString *text;       /* of a non-streaming completion so far */
  int64_t resume_from; /* index of the first token to send */
  int64_t position;    /* index of the next token */
  int64_t end;         /* index behind the last token */
  unsigned priority;
  bool chat;
  bool stream;
  bool stream_begun;
  bool waiting; /* for a slot */
};

CK_LIST_HEAD (copy_list, copy);
CK_LIST_HEAD (completion_list, completion);

struct engine_role
{
  struct standin standin; /* first */
  struct role_engine_options options;
  struct copy_list copies;
  struct completion_list completions;
  GQueue *queue;      /* struct completion waiting for a slot, by priority */
  GHashTable *orders; /* order id -> struct order_response */
  GHashTable *locations;  /* "name@version" -> "disk" or "memory" (host) */
  GHashTable *prefixes;   /* set of hashes of prompt prefixes */
  GHashTable *run_counts; /* marker -> requests executed */
  GQueue *settled;        /* order ids, newest last */
  GQueue *cache_events;   /* json_t, newest last */
  struct loop_timer step_timer;
  struct loop_timer snapshot_timer;
  json_t *snapshot; /* the report that is served */
  struct timespec snapshot_at;
  uint64_t epoch;     /* start time, so that it changes with a restart */
  uint64_t seq;       /* of the last report */
  uint64_t cache_seq; /* of the last cache event */
  char *working_role; /* "mixed", "prefill" or "decode" */
  uint64_t fence;     /* highest fencing token seen */
  int64_t violations; /* orders that would have overcommitted the memory */
  unsigned running;
  bool leaving;
};

/* engine_copy.c */
struct copy *engine_find_copy (const struct engine_role *role,
                               const char *name, bool adapter);
int64_t engine_memory_used_mb (const struct engine_role *role);
void engine_handle_order (struct engine_role *role, struct standin_call *call);
void engine_copies_free (struct engine_role *role);
double engine_fault_ms (const struct engine_role *role, const char *fault,
                        double fallback);

/* engine_completion.c */
void engine_handle_completion (struct engine_role *role,
                               struct standin_call *call, bool chat);
void engine_request_gone (struct engine_role *role, struct standin_call *call);
void engine_handle_prefixes (struct engine_role *role,
                             struct standin_call *call);
void engine_step (struct loop_timer *timer);

/* engine_report.c */
json_t *engine_report (struct engine_role *role);
void engine_snapshot_timer_fire (struct loop_timer *timer);

#endif
