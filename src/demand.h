/* demand - demand at this node for each target: requests waiting in all
   traffic threads, and requests that arrived.

   Control thread only.  */

#ifndef PARSLEYRILL_DEMAND_H
#define PARSLEYRILL_DEMAND_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define DEMAND_KINDS 4 /* kinds of arrivals that are told apart */

struct demand_table;

/* Arrivals with the same objectives, see struct site_route.  */
struct demand_kind
{
  unsigned calls;
  unsigned priority;
  int64_t objective_ms;
  int64_t gap_ms;
  uint64_t prompt_tokens; /* sums over CALLS */
  uint64_t shared_tokens; /* see struct caller_request */
  uint64_t answer_tokens;
};

struct demand
{
  char *target;
  unsigned waiting;         /* requests, over all threads */
  struct timespec deadline; /* earliest of them */
  unsigned priority;        /* highest of them */
  unsigned calls;           /* arrivals not yet reported to the decider */
  /* What these are like, as far as known.  */
  struct demand_kind kinds[DEMAND_KINDS];
  unsigned kind_count;
  bool changed; /* since the last report to the decider */
};

struct demand_table *demand_new (void);
void demand_free (struct demand_table *table);

/* One request for TARGET arrived.  */
void demand_request_arrived (struct demand_table *table, const char *target);

/* The same, like KIND.  Requests of more than DEMAND_KINDS kinds are counted
   to the last one.  */
void demand_request_arrived_as (struct demand_table *table, const char *target,
                                const struct demand_kind *kind);

/* WAITING requests of THREAD wait for TARGET now; replaces the previous count
   of THREAD.  */
void demand_set (struct demand_table *table, unsigned thread,
                 const char *target, unsigned waiting,
                 struct timespec deadline, unsigned priority);

/* Number of requests that wait for TARGET.  */
unsigned demand_waiting (const struct demand_table *table, const char *target);

/* Calls FN for each target; FN may modify CALLS, KIND_COUNT and CHANGED.  */
void demand_each (struct demand_table *table,
                  void (*fn) (void *user, struct demand *), void *user);

/* Frees entries without waiting requests, arrivals or changes to report, and
   the strings that demand_each passed for them.  */
void demand_prune (struct demand_table *table);

#endif
