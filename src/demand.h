/* wants - what the traffic threads of this node wait for, by target.

   Control thread only.  */

#ifndef PARSLEYRILL_DEMAND_H
#define PARSLEYRILL_DEMAND_H

#include <stdbool.h>
#include <time.h>

struct demand_table;

struct demand
{
  char *target;
  unsigned waiting;         /* requests, over all threads */
  struct timespec deadline; /* the earliest of them */
  unsigned priority;        /* the highest of them */
  unsigned calls;           /* arrivals not yet told to the decider */
  bool changed;             /* since it was told */
};

struct demand_table *demand_new (void);
void demand_free (struct demand_table *wants);

/* One call for TARGET arrived.  */
void demand_request_arrived (struct demand_table *wants, const char *target);

/* In THREAD, WAITING requests wait for TARGET now; replaces what it said
   before.  */
void demand_set (struct demand_table *wants, unsigned thread,
                 const char *target, unsigned waiting,
                 struct timespec deadline, unsigned priority);

/* FN may change CALLS and CHANGED.  */
void demand_each (struct demand_table *wants,
                  void (*fn) (void *user, struct demand *), void *user);

/* Forgets wants that have nothing left to tell; what demand_each gave of them
   is freed.  */
void demand_prune (struct demand_table *wants);

#endif
