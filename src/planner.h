/* planner - decides which engine of one service holds which models and
   adapters, on engines that count the orders they accept.

   An engine carries an order out only while it has accepted just EXPECTED
   orders before it.  So of all orders sent under one count at most one is
   carried out, however late, and memory needs to be reserved for that one
   alone; nothing has to be journalled, and a successor takes the engines as
   they report themselves.

   A state machine: typed event and NOW in, struct planner_action out.  No I/O,
   no clock; one thread.

   Ownership: events are copied, but for the service of planner_set_service,
   which is borrowed until the next one; strings of actions belong to them.  */

#ifndef PARSLEYRILL_PLANNER_H
#define PARSLEYRILL_PLANNER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "backend.h"
#include "frame.h"
#include "inventory.h"
#include "servers.h"
#include "site.h"

#define PLANNER_TICK_MS 100 /* between looks at what is to be done */

struct planner;

struct planner_options
{
  unsigned loads_at_once; /* from the weight store, at full speed */
  struct timespec now;
};

enum planner_action_type
{
  PLANNER_ORDER,      /* send it; its result goes to planner_order_answered */
  PLANNER_GET_REPORT, /* ask ENGINE for its report, for planner_report */
  PLANNER_ORDER_DONE  /* an order was seen to be carried out, or not: for the
                       * log
                       */
};

struct planner_action
{
  struct action action;
  char *engine;
  char *address;
  enum backend_order_type type; /* PLANNER_ORDER, PLANNER_ORDER_DONE */
  char *model;
  char *adapter; /* NULL for a model */
  uint64_t expected;
  bool ok;      /* PLANNER_ORDER_DONE */
  char *reason; /* key=value pairs: the figures compared */
};

struct planner *planner_new (const struct planner_options *options);
void planner_free (struct planner *planner);

/* The service as configured; its name never changes.  */
void planner_set_service (struct planner *planner,
                          const struct site_service *service,
                          struct timespec now);

/* An engine as listed.  It gets no order before its first report.  */
void planner_update_engine (struct planner *planner,
                            const struct server_entry *entry);
void planner_remove_engine (struct planner *planner, const char *id);

/* What engine ID reported; HOLDING NULL: it did not answer.  */
void planner_report (struct planner *planner, const char *id,
                     const struct inventory *inventory, struct timespec now,
                     struct action_list *out);

/* No process is at the address of engine ID: what it held is lost.  */
void planner_engine_down (struct planner *planner, const char *id);

/* The result of the last PLANNER_ORDER for engine ID.  */
void planner_order_answered (struct planner *planner, const char *id,
                             enum backend_status status, struct timespec now,
                             struct action_list *out);

/* COUNT calls for TARGET, "MODEL" or "MODEL/ADAPTER", arrived.  */
void planner_request_arrived (struct planner *planner, const char *target,
                              double count, struct timespec now);

/* At NODE, WAITING requests wait for TARGET.  Replaces what NODE said before
   about TARGET; those no longer among them are taken to be on their way to an
   engine.  PRIORITY 0 is the highest.  */
void planner_set_waiting (struct planner *planner, const char *node,
                          const char *target, unsigned waiting,
                          unsigned priority, struct timespec now);
void planner_remove_node (struct planner *planner, const char *node);

void planner_tick (struct planner *planner, struct timespec now,
                   struct action_list *out);

/* When the next tick is wanted.  */
struct timespec planner_next_tick (const struct planner *planner,
                                   struct timespec now);

/* Calls FN for each model and adapter on each engine; strings borrowed.  */
void planner_each_replica (const struct planner *planner, struct timespec now,
                           void (*fn) (void *user,
                                       const struct peer_replica *replica),
                           void *user);

/* Orders given and not yet seen to be carried out.  */
unsigned planner_open_orders (const struct planner *planner);

#endif
