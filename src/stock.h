/* stock - decides which engine of one service holds which models and
   adapters, on engines that count the orders they accept.

   An engine carries an order out only while it has accepted just EXPECTED
   orders before it.  So of all orders sent under one count at most one is
   carried out, however late, and memory needs to be reserved for that one
   alone; nothing has to be journalled, and a successor takes the engines as
   they report themselves.

   A state machine: typed event and NOW in, struct stock_action out.  No I/O,
   no clock; one thread.

   Ownership: events are copied, but for the service of stock_service, which
   is borrowed until the next one; strings of actions belong to them.  */

#ifndef PARSLEYRILL_STOCK_H
#define PARSLEYRILL_STOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "backend.h"
#include "frame.h"
#include "holding.h"
#include "servers.h"
#include "site.h"

#define STOCK_TICK_MS 100 /* between looks at what is to be done */

struct stock;

struct stock_options
{
  unsigned loads_at_once; /* from the weight store, at full speed */
  struct timespec now;
};

enum stock_action_type
{
  STOCK_ORDER,  /* send it; its result goes to stock_answered */
  STOCK_ASK,    /* ask ENGINE for its report, for stock_report */
  STOCK_SETTLED /* an order was seen to be carried out, or not: for the log */
};

struct stock_action
{
  struct action action;
  char *engine;
  char *address;
  enum backend_order_type type; /* STOCK_ORDER, STOCK_SETTLED */
  char *model;
  char *adapter; /* NULL for a model */
  uint64_t expected;
  bool ok;      /* STOCK_SETTLED */
  char *reason; /* key=value pairs: the figures compared */
};

struct stock *stock_new (const struct stock_options *options);
void stock_free (struct stock *stock);

/* The service as configured; its name never changes.  */
void stock_service (struct stock *stock, const struct site_service *service,
                    struct timespec now);

/* An engine as listed.  It gets no order before its first report.  */
void stock_engine (struct stock *stock, const struct server_entry *entry);
void stock_engine_gone (struct stock *stock, const char *id);

/* What engine ID reported; HOLDING NULL: it did not answer.  */
void stock_report (struct stock *stock, const char *id,
                   const struct holding *holding, struct timespec now,
                   struct action_list *out);

/* No process is at the address of engine ID: what it held is lost.  */
void stock_engine_down (struct stock *stock, const char *id);

/* The result of the last STOCK_ORDER for engine ID.  */
void stock_answered (struct stock *stock, const char *id,
                     enum backend_status status, struct timespec now,
                     struct action_list *out);

/* COUNT calls for TARGET, "MODEL" or "MODEL/ADAPTER", arrived.  */
void stock_call (struct stock *stock, const char *target, double count,
                 struct timespec now);

/* At NODE, WAITING requests wait for TARGET.  Replaces what NODE said before
   about TARGET; those no longer among them are taken to be on their way to an
   engine.  PRIORITY 0 is the highest.  */
void stock_want (struct stock *stock, const char *node, const char *target,
                 unsigned waiting, unsigned priority, struct timespec now);
void stock_node_gone (struct stock *stock, const char *node);

void stock_tick (struct stock *stock, struct timespec now,
                 struct action_list *out);

/* When the next tick is wanted.  */
struct timespec stock_next (const struct stock *stock, struct timespec now);

/* Calls FN for each model and adapter on each engine; strings borrowed.  */
void stock_each (const struct stock *stock, struct timespec now,
                 void (*fn) (void *user, const struct peer_replica *replica),
                 void *user);

/* Orders given and not yet seen to be carried out.  */
unsigned stock_open (const struct stock *stock);

#endif
