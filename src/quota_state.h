/* quota_state - the state of the module quota, shared by quota and quota_wait.
   Private to them.  */

#ifndef PARSLEYRILL_QUOTA_STATE_H
#define PARSLEYRILL_QUOTA_STATE_H

#include <glib.h>
#include "quota.h"
#include "quota_home.h"

struct home
{
  char *name;
  struct timespec silent_until;
  struct timespec full_until;
};

struct ask
{
  uint64_t number;
  uint64_t wait; /* 0: no request waits for it */
  char *home;
  struct timespec at;
  double need;
  bool timed_out;
};

struct wait
{
  uint64_t id;
  double need;
  guint tried[QUOTA_HOMES]; /* hashes of names */
  size_t tried_count;
  bool refused; /* by a home */
  struct timespec began_at;
  struct timespec ready_at; /* when a home may issue it; zero: none told */
  struct timespec retry_at; /* zero: it waits for an answer */
  struct quota_verdict verdict;
};

struct limit
{
  char *customer;
  struct quota_limit terms; /* without its name */
  struct home homes[QUOTA_HOMES];
  size_t home_count;
  bool is_home;
  struct quota_bucket bucket; /* if IS_HOME */
  struct quota_bucket own;    /* the share of this node */
  struct quota_credit credit;
  GArray *asks;  /* struct ask, in the order of their numbers */
  GArray *waits; /* struct wait */
  uint64_t exceeded;
  unsigned rotation;
  struct timespec prefetch_at;   /* not before */
  struct timespec trouble_since; /* no home was reached; zero: one was */
  struct timespec promised;      /* told to refused requests up to here */
  GHashTable *returns;           /* node -> uint64_t: last number */
};

struct quota
{
  struct homes *homes;
  GHashTable *limits; /* customer -> struct limit */
  uint64_t serial;
  bool prefetches; /* the bounds allow credit that no request waits for */
  double slack;    /* of the bounds */
  bool owes;       /* and small debts at each home */
  bool known;      /* the nodes of the table */
  struct timespec known_at;
  /* Of all nodes: those that this one is a home for, itself, its rank.  */
  double share;
  double own_share;
  double rank;
  struct timespec shares_at; /* when these were computed */
  struct timespec ticked_at;
};

static inline struct limit *
quota_find (const struct quota *quota, const char *customer)
{
  return g_hash_table_lookup (quota->limits, customer);
}

/* quota.c */

struct quota_action *quota_push (struct action_list *actions,
                                 enum quota_action_type type, const char *node,
                                 const char *customer);
/* If a request that waits may go on.  */
void quota_push_ready (const struct limit *limit, struct action_list *actions);
/* No home has been reached since SINCE.  */
void quota_begin_trouble (struct limit *limit, struct timespec since,
                          struct timespec now);

/* quota_wait.c: requests that wait, and what a node asks for.  */

struct wait *quota_find_wait (const struct limit *limit, uint64_t id);
/* Uses the credit for the requests that wait, FIRST before the others; 0:
   none.  */
void quota_settle_by_credit (struct limit *limit, uint64_t first,
                             struct timespec now);
/* Asks the next home for WAIT, or decides it.  */
void quota_try_homes (struct quota *quota, struct limit *limit,
                      struct wait *wait, struct timespec now,
                      struct action_list *actions);
/* A home refused WAIT and will have enough in WAIT_MS.  */
void quota_note_refusal (struct wait *wait, int64_t wait_ms,
                         struct timespec now);
/* Gives TAKEN to a home.  */
void quota_give_back (struct quota *quota, struct limit *limit,
                      const struct quota_taken *taken, struct timespec now,
                      struct action_list *actions);

#endif
