/* planner_state - state shared by the modules planner, planner_order and
   planner_round.  Private to them.  */

#ifndef PARSLEYRILL_PLANNER_STATE_H
#define PARSLEYRILL_PLANNER_STATE_H

#include <time.h>
#include <glib.h>
#include "budget.h"
#include "planner.h"
#include "planner_delay.h"
#include "rates.h"

enum planner_stage
{
  STAGE_NONE,
  STAGE_SENT,    /* awaiting the response */
  STAGE_UNKNOWN, /* no response: an identical order will be sent */
  STAGE_RUNNING  /* accepted; a report shows when it has ended */
};

struct planner_order
{
  enum planner_stage stage;
  enum backend_order_type type;
  char *model;
  char *adapter;
  char *reason;
  uint64_t expected;   /* orders that the engine must have accepted before */
  bool fetches;        /* from the weight store: counts against the budget */
  unsigned concurrent; /* if FETCHES: fetches in flight when it began, itself
                          included */
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
  char *software; /* version of its software; "": unknown */
  bool leaving;
  bool has_report;     /* a report since its start, still valid */
  bool report_pending; /* requested */
  /* Earliest time of the next report request while there is no valid report or
     the engine may be down.  */
  struct timespec next_report_at;
  struct inventory *inventory; /* never NULL */
  struct planner_order order;
  char *last_loaded;         /* model; NULL: none by this decider */
  struct timespec loaded_at; /* when LAST_LOADED was found to be loaded */
  char *next_model;       /* models are evicted to load this one; NULL: none */
  unsigned next_replicas; /* of NEXT_MODEL, when that was set */
  double limit_per_s;     /* requests that it takes; 0: any rate */
  struct timespec no_order_before;
  struct timespec adapters_settled_at; /* no adapter is unloaded until then */
  double pace; /* of its machine, 1: usual; 0: not told */
  /* In the current round, if planned by delay.  */
  struct planner_delay_work work; /* expected, of all its models */
  unsigned first_place;           /* see struct plan_place */
  unsigned place_count;
  double speed_left;     /* that WORK leaves */
  double delay_s;        /* of a request without a prompt */
  double most_read_s;    /* reading for the model that it reads most for */
  double weighted_per_s; /* requests, weighted by priority */
};

/* Requests that wait for a target at one node.  */
struct planner_waiting
{
  char *node;
  char *target;
  char *software;   /* only engines with this version serve them; NULL: any */
  unsigned waiting; /* number of requests */
  struct timespec since; /* when the first of them began to wait */
  unsigned priority;     /* of the most urgent; 0 is the highest */
};

struct planner
{
  const struct site_service *service;
  GHashTable *models;          /* name to struct site_model, of SERVICE */
  uint64_t adapter_reserve_mb; /* memory kept for adapters on each engine */
  GHashTable *engines;         /* id to struct planner_engine */
  struct rates *arrivals;      /* of requests, by target */
  struct rates *arrivals_long; /* the same, over a longer time, by model */
  struct rates *dispatched;    /* of waiting requests, by target: only the time
                                  of the last one, the counts are 0 */
  GHashTable *waiting;         /* "NODE TARGET", for one version followed by
                                  "\nSOFTWARE", to struct planner_waiting */
  struct budget budget;
  double request_s; /* mean share of an engine that a request takes */
  /* Name of a model that requests wait for and no engine is loading, to struct
     timespec: when it is estimated to be loaded.  */
  GHashTable *expected_ready;
  unsigned loads_at_once;
  bool by_delay;                    /* an engine has told its pace */
  unsigned rounds;                  /* number of them */
  unsigned short_models;            /* see planner_short_models */
  struct timespec full_round_at;    /* last one that was not partial */
  unsigned preload_offset;          /* next model to try, see preload */
  struct timespec first_request_at; /* zero: none yet */
  struct timespec started_at;       /* planner_new */
  /* What requests are like: name of a model to struct
     planner_delay_requests.  */
  GHashTable *requests;
  const struct modelspeed *speeds;            /* borrowed; NULL: not known */
  struct planner_delay_requests all_requests; /* of all models */
};

/* planner_order.c */

/* Whether ENGINE may be given an order now.  */
bool planner_can_order (const struct planner_engine *engine,
                        struct timespec now);
/* REASON is owned by the order.  */
void planner_issue_order (struct planner *planner,
                          struct planner_engine *engine,
                          enum backend_order_type type, const char *model,
                          const char *adapter, char *reason,
                          struct timespec now, struct action_list *out);
/* Number of engines that carry out an order of the previous decider.  Each may
   be a fetch from the weight store.  */
unsigned planner_previous_fetches (const struct planner *planner);
/* Sends the open order again, or requests a report, if that is due.  */
void planner_advance_order (struct planner *planner,
                            struct planner_engine *engine, struct timespec now,
                            struct action_list *out);
void planner_clear_order (struct planner *planner,
                          struct planner_engine *engine);
/* Requests a report of an engine that may be down, at a limited rate.  */
void planner_probe_engine (struct planner_engine *engine, struct timespec now,
                           struct action_list *out);
/* Closes the open order if the engine's report shows its outcome.  */
void planner_check_order (struct planner *planner,
                          struct planner_engine *engine, struct timespec now,
                          struct action_list *out);

/* Seconds that a load of MODEL takes on ENGINE.  Sets *FETCHES to whether the
   weights have to be fetched from the weight store.  */
double planner_load_s (const struct planner_engine *engine,
                       const struct site_model *model, bool *fetches);

/* NULL when the service has no such model.  */
const struct site_model *planner_model (const struct planner *planner,
                                        const char *name);

/* Free memory on ENGINE less that of an open load order.  The memory of an
   unload counts as used until a report shows it free.  */
int64_t planner_free_mb (const struct planner *planner,
                         const struct planner_engine *engine);

/* planner_round.c */
void planner_run_round (struct planner *planner, struct timespec now,
                        struct action_list *out);

#endif
