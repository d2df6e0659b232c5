/* backend - interface for orders to engines and reports of engines.

   Asynchronous, on the control thread, like platform.h.  Client requests are
   sent by the traffic threads, not through this interface.

   Ownership: arguments are borrowed for the length of the call, results for
   the length of the callback.  */

#ifndef PARSLEYRILL_BACKEND_H
#define PARSLEYRILL_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

struct backend;

enum backend_order_type
{
  BACKEND_LOAD,   /* load a model version into accelerator memory */
  BACKEND_UNLOAD, /* refused while a request runs, unless forced */
  BACKEND_ADAPTER_LOAD,
  BACKEND_ADAPTER_UNLOAD,
  BACKEND_PRELOAD, /* fetch a checkpoint from the weight store to disk */
  BACKEND_ROLE     /* set the role: "mixed", "prefill" or "decode" */
};

struct backend_order
{
  enum backend_order_type type;
  const char *engine;   /* instance id */
  const char *address;  /* IP:port */
  const char *order_id; /* idempotency key */
  uint64_t fence;       /* fencing token of the sender's lease */
  uint64_t epoch;       /* of the report that the order is based on */
  const char *model;
  const char *version;
  const char *adapter; /* NULL except for adapter orders */
  const char *role;    /* NULL except for BACKEND_ROLE */
  uint64_t memory_mb;
  const char *holder; /* node that sends the order */
  /* Number of orders that the engine must have accepted before; it refuses
     this one otherwise.  Used only by engines that count orders.  */
  uint64_t expected;
};

enum backend_status
{
  BACKEND_ACCEPTED,       /* in progress or done, see later reports */
  BACKEND_UNCHANGED,      /* nothing to do: the state was so already */
  BACKEND_BUSY,           /* not carried out: another order is in progress, or
                             EXPECTED does not match */
  BACKEND_WRONG_INSTANCE, /* not carried out: another instance has the
                             address */
  BACKEND_REFUSED,        /* definitely not carried out */
  BACKEND_FENCED,         /* refused: a higher fencing token was seen */
  BACKEND_UNKNOWN,        /* may have been or may yet be carried out */
  BACKEND_DOWN            /* reports only: the address refuses connections, so
                             there is no process and its memory is lost */
};

enum backend_copy_state
{
  BACKEND_COPY_LOADING,
  BACKEND_COPY_LOADED,
  BACKEND_COPY_UNLOADING
};

struct backend_copy
{
  const char *model; /* or adapter */
  const char *version;
  enum backend_copy_state state;
  uint64_t memory_mb;
  unsigned active; /* requests running */
};

/* State of an engine AGE_MS ago.  EPOCH changes when the engine restarts; SEQ
   increases within an epoch.  An order is finished when SETTLED contains its
   id.  */
struct backend_report
{
  const char *engine;
  uint64_t epoch;
  uint64_t seq;
  uint64_t fence; /* highest fencing token seen; 0: none or not checked */
  int64_t age_ms;
  bool leaving;
  const char *role;
  uint64_t memory_mb;
  uint64_t memory_used_mb; /* including loads in progress */
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
  const char *const *settled; /* ids of recently finished orders */
  size_t settled_count;
  bool busy;                    /* a model order is in progress */
  unsigned loading_adapters;    /* adapters being loaded, not in ADAPTERS */
  const char *const *in_memory; /* models with weights in host memory */
  size_t in_memory_count;
};

/* What a response of a server says about the server itself.  */
struct backend_notice
{
  bool leaving;     /* it is about to exit */
  int64_t pause_ms; /* it wants nothing from this node for so long; 0: not
                       said */
  struct timespec sent_at; /* of the request; zero: unknown */
  double limit_per_s;      /* requests a second that it takes from all nodes
                              together; 0: no limit; negative: not known */
  double brittle_per_s;    /* it falls over when it has to reject more requests
                              a second; 0: it is not brittle; negative: not
                              known */
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
  /* Called for each response to an order or a report request, before its
     callback; NULL: not called.  */
  void (*notice) (void *user, const char *engine,
                  const struct backend_notice *notice);
  void *notice_user;
};

#endif
