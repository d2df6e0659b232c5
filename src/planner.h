/* planner - placement of the models and adapters of one service on its
   engines, for engines that count the orders they accept.

   An engine carries out an order only if it has accepted exactly EXPECTED
   orders before it, as in compare-and-swap.  Of the orders sent with the same
   count at most one is therefore carried out, however late it arrives.  So
   memory has to be reserved for that one order only, no order needs to be
   journaled, and a new decider (holder of the lease) needs only the reports of
   the engines to take over.

   A state machine without I/O: each function takes an event and the time NOW
   and appends struct planner_action to OUT.  It reads no clock.  One thread.

   Ownership: events are copied, except the service given to
   planner_set_service, which is borrowed until the next such call.  Strings in
   actions belong to the action.  */

#ifndef PARSLEYRILL_PLANNER_H
#define PARSLEYRILL_PLANNER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "backend.h"
#include "frame.h"
#include "inventory.h"
#include "planner_delay.h"
#include "servers.h"
#include "site.h"

#define PLANNER_TICK_MS 100 /* maximum interval of planning rounds */

struct modelspeed;
struct planner;

struct planner_options
{
  unsigned loads_at_once; /* fetches the weight store serves at full speed */
  struct timespec now;
};

enum planner_action_type
{
  PLANNER_ORDER,      /* send it; its result goes to planner_order_answered */
  PLANNER_GET_REPORT, /* fetch ENGINE's report, for planner_report */
  PLANNER_ORDER_DONE  /* the outcome of an order is known; log it */
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
  bool ok;      /* PLANNER_ORDER_DONE: it was carried out */
  bool fetches; /* PLANNER_ORDER: the engine fetches from the weight store */
  char *reason; /* key=value pairs: inputs of the decision */
};

struct planner *planner_new (const struct planner_options *options);
void planner_free (struct planner *planner);

/* Sets or updates the configuration of the service, whose name must stay the
   same.  */
void planner_set_service (struct planner *planner,
                          const struct site_service *service,
                          struct timespec now);

/* Adds or updates a listed engine, which gets no order before its first
   report.  */
void planner_update_engine (struct planner *planner,
                            const struct server_entry *entry);
void planner_remove_engine (struct planner *planner, const char *id);

/* Engine ID takes PER_S requests a second of all nodes together; 0: any
   rate.  */
void planner_set_limit (struct planner *planner, const char *id, double per_s);

/* Work takes PACE times as long as usual at engine ID; 0: it does not tell.
   Replicas are planned by delay if any engine tells its pace, otherwise by
   throughput.  */
void planner_set_pace (struct planner *planner, const char *id, double pace);

/* SPEED, borrowed, tells how long the work for each model takes; NULL: alike.
 */
void planner_set_speeds (struct planner *planner,
                         const struct modelspeed *speed);

/* What requests for TARGET, "MODEL" or "MODEL/ADAPTER", are like.  Their
   arrival is told by planner_request_arrived.  */
void planner_note_requests (struct planner *planner, const char *target,
                            const struct planner_delay_kind *kind);

/* A request takes REQUEST_S of an engine's time, in the mean; see
   reqtime.h.  */
void planner_set_request_time (struct planner *planner, double request_s);

/* The requested report of engine ID; INVENTORY is NULL when it did not
   answer.  */
void planner_report (struct planner *planner, const char *id,
                     const struct inventory *inventory, struct timespec now,
                     struct action_list *out);

/* No process listens at the address of engine ID, so that nothing is loaded
   there any more.  */
void planner_engine_down (struct planner *planner, const char *id);

/* The result of the last PLANNER_ORDER for engine ID.  */
void planner_order_answered (struct planner *planner, const char *id,
                             enum backend_status status, struct timespec now,
                             struct action_list *out);

/* COUNT requests for TARGET, "MODEL" or "MODEL/ADAPTER", arrived.  */
void planner_request_arrived (struct planner *planner, const char *target,
                              double count, struct timespec now);

/* At NODE, WAITING requests wait for TARGET.  Replaces the previous count of
   NODE for TARGET; a smaller count means that the others have been dispatched
   to an engine.  PRIORITY 0 is the highest.  */
void planner_set_waiting (struct planner *planner, const char *node,
                          const char *target, unsigned waiting,
                          unsigned priority, struct timespec now);
/* The same for requests that only engines with SOFTWARE may serve, because
   they resume a stream.  They are not counted by planner_set_waiting.  */
void planner_set_resuming (struct planner *planner, const char *node,
                           const char *target, const char *software,
                           unsigned waiting, unsigned priority,
                           struct timespec now);
void planner_remove_node (struct planner *planner, const char *node);

void planner_tick (struct planner *planner, struct timespec now,
                   struct action_list *out);

/* When planner_tick is due next.  */
struct timespec planner_next_tick (const struct planner *planner,
                                   struct timespec now);

/* Calls FN for each model and adapter that is loaded, being loaded or
   expected; strings are valid during the call.  */
void planner_each_replica (const struct planner *planner, struct timespec now,
                           void (*fn) (void *user,
                                       const struct peer_replica *replica),
                           void *user);

/* Number of orders whose outcome is not known yet.  */
unsigned planner_open_orders (const struct planner *planner);

/* Number of models that lacked replicas in the last round, if planned by
   delay.  */
unsigned planner_short_models (const struct planner *planner);

#endif
