/* backend - orders to engines and their reports.

   Asynchronous, on the control thread, like platform.h.  Requests of callers
   do not pass here: the traffic threads send those.

   Ownership: arguments are borrowed for the length of the call, results for
   the length of the callback.  */

#ifndef PARSLEYRILL_BACKEND_H
#define PARSLEYRILL_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct backend;

enum backend_order_type
{
  BACKEND_LOAD,   /* a model's version into accelerator memory */
  BACKEND_UNLOAD, /* refused while a request runs, unless forced */
  BACKEND_ADAPTER_LOAD,
  BACKEND_ADAPTER_UNLOAD,
  BACKEND_PRELOAD, /* checkpoint from the weight store to disk */
  BACKEND_ROLE     /* "mixed", "prefill" or "decode" */
};

struct backend_order
{
  enum backend_order_type type;
  const char *engine;   /* instance id */
  const char *address;  /* IP:port */
  const char *order_id; /* the same id again is answered as the first time */
  uint64_t fence;       /* fencing token of the sender's lease */
  uint64_t epoch;       /* of the engine's report that the order rests on */
  const char *model;
  const char *version;
  const char *adapter; /* NULL but for adapter orders */
  const char *role;    /* NULL but for BACKEND_ROLE */
  uint64_t memory_mb;
  const char *holder; /* node that gives the order */
  /* Orders that the engine must have accepted before this one; it refuses
     the order otherwise.  Only engines that count them look at it.  */
  uint64_t expected;
};

enum backend_status
{
  BACKEND_ACCEPTED,  /* under way or done; reports tell the rest */
  BACKEND_UNCHANGED, /* it was so before: nothing was done */
  BACKEND_BUSY,      /* not carried out: another order, or not as EXPECTED */
  BACKEND_WRONG_INSTANCE, /* not carried out: another instance has the address
                           */
  BACKEND_REFUSED,        /* surely not carried out */
  BACKEND_FENCED,         /* refused: a higher fencing token was seen */
  BACKEND_UNKNOWN,        /* may be carried out */
  BACKEND_DOWN /* reports only: its address refuses connections, so no
                  process is there and its memory is lost */
};

enum backend_copy_state
{
  BACKEND_COPY_LOADING,
  BACKEND_COPY_LOADED,
  BACKEND_COPY_UNLOADING
};

struct backend_copy
{
  const char *model; /* or adapter name */
  const char *version;
  enum backend_copy_state state;
  uint64_t memory_mb;
  unsigned active; /* requests running */
};

/* A report describes the engine as it was AGE_MS ago.  EPOCH changes when
   the engine restarts; SEQ grows within an epoch.  An order is over when its
   id is among SETTLED.  */
struct backend_report
{
  const char *engine;
  uint64_t epoch;
  uint64_t seq;
  uint64_t fence; /* highest fencing token seen, 0: none or not checked */
  int64_t age_ms;
  bool leaving;
  const char *role;
  uint64_t memory_mb;
  uint64_t memory_used_mb; /* loads under way included */
  unsigned accelerators;
  unsigned slots;
  unsigned running;
  unsigned queued;
  const struct backend_copy *models;
  size_t model_count;
  const struct backend_copy *adapters;
  size_t adapter_count;
  const char *const *on_disk; /* "model@version" */
  size_t on_disk_count;
  const char *const *settled; /* order ids finished lately */
  size_t settled_count;
  bool busy;                    /* an order of a model is carried out */
  unsigned coming;              /* adapters on their way, not among ADAPTERS */
  const char *const *in_memory; /* models whose weights the host holds */
  size_t in_memory_count;
};

struct backend_ops
{
  void (*order) (struct backend *backend, const struct backend_order *order,
                 void (*done) (void *user, enum backend_status status,
                               const char *why),
                 void *user);
  /* REPORT is NULL when STATUS is not BACKEND_ACCEPTED.  */
  void (*report) (struct backend *backend, const char *engine,
                  const char *address,
                  void (*done) (void *user, enum backend_status status,
                                const struct backend_report *report),
                  void *user);
};

struct backend
{
  const struct backend_ops *ops;
};

#endif
