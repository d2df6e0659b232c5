/* stock_state - what the modules planner, planner_order and planner_run_round
   share. Private to them.  */

#ifndef PARSLEYRILL_PLANNER_STATE_H
#define PARSLEYRILL_PLANNER_STATE_H

#include <time.h>
#include <glib.h>
#include "budget.h"
#include "rates.h"
#include "planner.h"

enum planner_stage
{
  STAGE_NONE,
  STAGE_SENT,    /* an answer is awaited */
  STAGE_UNKNOWN, /* no answer came: it is sent again, just the same */
  STAGE_RUNNING  /* accepted; reports tell the end */
};

struct planner_order
{
  enum planner_stage stage;
  enum backend_order_type type;
  char *model;
  char *adapter;
  char *reason;
  uint64_t expected;
  bool fetches;     /* from the weight store: counted in the budget */
  unsigned abreast; /* FETCHES: those in flight when it began, itself too */
  bool doubtful;    /* an earlier sending may have been carried out */
  struct timespec sent_at;
  struct timespec accepted_at;
  struct timespec next_at;  /* STAGE_UNKNOWN: send again; STAGE_RUNNING: ask */
  struct timespec ready_at; /* STAGE_RUNNING: estimate */
};

struct planner_engine
{
  char *id;
  char *address;
  bool leaving;
  bool known;             /* it has reported since its start */
  bool asking;            /* a report is awaited */
  struct timespec ask_at; /* while not known, or in doubt: not sooner */
  struct inventory *held; /* never NULL */
  struct planner_order order;
  char *goal;                  /* model that room is made for; NULL: none */
  struct timespec quiet_until; /* no order before */
  struct timespec settled_at;  /* adapters have come: one may be unloaded */
};

struct planner_waiting
{
  char *node;
  char *target;
  unsigned waiting;
  unsigned priority;
};

struct planner
{
  const struct site_service *service;
  GHashTable *models;   /* name to struct site_model, of SERVICE */
  uint64_t reserved_mb; /* of an engine, for adapters */
  GHashTable *engines;  /* id to struct planner_engine */
  struct rates *demand; /* of targets */
  struct rates *sent; /* targets whose requests waited, when these were sent */
  GHashTable *wants;  /* "NODE TARGET" to struct planner_waiting */
  struct budget budget;
  GHashTable *expected; /* model that requests wait for and no engine loads
                           yet, to struct timespec: when it may be had */
  unsigned loads_at_once;
  unsigned preload_from;     /* place in the order of need */
  struct timespec called_at; /* first call; zero: none */
};

/* planner_order.c */

/* May ENGINE be given an order now?  */
bool planner_can_order (const struct planner_engine *engine,
                        struct timespec now);
void planner_issue_order (struct planner *planner,
                          struct planner_engine *engine,
                          enum backend_order_type type, const char *model,
                          const char *adapter, char *reason,
                          struct timespec now, struct action_list *out);
/* Engines that carry out an order of the decider before, which may fetch from
   the weight store.  */
unsigned planner_previous_fetches (const struct planner *planner);
/* Sends again, or asks for reports, what is due.  */
void planner_advance_order (struct planner *planner,
                            struct planner_engine *engine, struct timespec now,
                            struct action_list *out);
void planner_clear_order (struct planner *planner,
                          struct planner_engine *engine);
/* Asks for a report unless one came or was asked for lately.  */
void planner_verify_engine (struct planner_engine *engine, struct timespec now,
                            struct action_list *out);
/* Compares the open order with what the engine holds.  */
void planner_check_order (struct planner *planner,
                          struct planner_engine *engine, struct timespec now,
                          struct action_list *out);

/* Seconds that a load of MODEL takes on ENGINE; *FETCHES: from the weight
   store.  */
double planner_load_s (const struct planner_engine *engine,
                       const struct site_model *model, bool *fetches);

/* NULL when the service has no such model.  */
const struct site_model *planner_model (const struct planner *planner,
                                        const char *name);

/* Memory left on ENGINE when the open order is carried out; never counts an
   unload before it is seen.  */
int64_t planner_free_mb (const struct planner *planner,
                         const struct planner_engine *engine);

/* planner_run_round.c */
void planner_run_round (struct planner *planner, struct timespec now,
                        struct action_list *out);

#endif
