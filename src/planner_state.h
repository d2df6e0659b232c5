/* planner_state - state shared by the modules planner, planner_order and
   planner_round.  Private to them.  */

#ifndef PARSLEYRILL_PLANNER_STATE_H
#define PARSLEYRILL_PLANNER_STATE_H

#include <time.h>
#include <glib.h>
#include "budget.h"
#include "planner.h"
#include "rates.h"

enum planner_stage
{
  STAGE_NONE,
  STAGE_SENT,    /* the response is awaited */
  STAGE_UNKNOWN, /* no response: the identical order is sent again */
  STAGE_RUNNING  /* accepted; reports show when it has ended */
};

struct planner_order
{
  enum planner_stage stage;
  enum backend_order_type type;
  char *model;
  char *adapter;
  char *reason;
  uint64_t expected;
  bool fetches;        /* from the weight store: counts against the budget */
  unsigned concurrent; /* FETCHES: fetches in flight at its start, with it */
  bool maybe_applied;  /* an earlier attempt may have been carried out */
  struct timespec sent_at;
  struct timespec accepted_at;
  struct timespec next_at;  /* STAGE_UNKNOWN: of the next attempt;
                               STAGE_RUNNING: of the next report */
  struct timespec ready_at; /* STAGE_RUNNING: estimate */
};

struct planner_engine
{
  char *id;
  char *address;
  bool leaving;
  bool has_report; /* one since the engine's start, still trusted */
  bool report_pending;
  struct timespec next_report_at; /* earliest, without a trusted report or
                                     while the engine may be down */
  struct inventory *held;         /* never NULL */
  struct planner_order order;
  char *next_model; /* that room is being made for; NULL: none */
  struct timespec no_order_before;
  struct timespec adapters_settled_at; /* no adapter is unloaded before */
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
  GHashTable *models;          /* name to struct site_model, of SERVICE */
  uint64_t adapter_reserve_mb; /* of an engine */
  GHashTable *engines;         /* id to struct planner_engine */
  struct rates *arrivals;      /* of requests, by target */
  struct rates *dispatched;    /* end of waiting, by target; idle time only */
  GHashTable *waiting;         /* "NODE TARGET" to struct planner_waiting */
  struct budget budget;
  GHashTable *expected_ready; /* model that requests wait for and no engine is
                                 loading, to struct timespec: estimate */
  unsigned loads_at_once;
  unsigned preload_offset;          /* in the models sorted by need */
  struct timespec first_request_at; /* zero: none yet */
};

/* planner_order.c */

/* Whether ENGINE may be given an order now.  */
bool planner_can_order (const struct planner_engine *engine,
                        struct timespec now);
void planner_issue_order (struct planner *planner,
                          struct planner_engine *engine,
                          enum backend_order_type type, const char *model,
                          const char *adapter, char *reason,
                          struct timespec now, struct action_list *out);
/* Number of engines that carry out an order of the previous decider, which
   may be a fetch from the weight store.  */
unsigned planner_previous_fetches (const struct planner *planner);
/* Sends the order again or asks for a report if that is due.  */
void planner_advance_order (struct planner *planner,
                            struct planner_engine *engine, struct timespec now,
                            struct action_list *out);
void planner_clear_order (struct planner *planner,
                          struct planner_engine *engine);
/* Asks for a report of an engine that may be down, at a limited rate.  */
void planner_verify_engine (struct planner_engine *engine, struct timespec now,
                            struct action_list *out);
/* Closes the open order if the engine's report shows its outcome.  */
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

/* Free memory on ENGINE after the open order.  An unload frees nothing before
   a report shows its effect.  */
int64_t planner_free_mb (const struct planner *planner,
                         const struct planner_engine *engine);

/* planner_round.c */
void planner_run_round (struct planner *planner, struct timespec now,
                        struct action_list *out);

#endif
