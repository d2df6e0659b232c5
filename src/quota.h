/* quota - keeps the quota of each customer by all nodes together.

   Three nodes are the homes of a customer, see homes.h; each issues a part of
   its rate and burst (quota_home.h), for the share of all nodes that it has
   links to, as nodes cannot tell a node that is gone from one that is cut off.
   The others ask a home for the amount of a request, and for what they expect
   to need soon (quota_credit.h).  A home that refuses tells when there will be
   enough.

   A home issues nothing before it knows the nodes of the table and for
   QUOTA_HOLD_MS after it became a home.  A node that has reached no home for
   QUOTA_LEAVE_MS, after which no home counts its share, uses this share
   itself.

   Amounts are in tokens or requests.  A state machine without I/O; one
   thread.  */

#ifndef PARSLEYRILL_QUOTA_H
#define PARSLEYRILL_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "homes.h"
#include "quota_credit.h"

#define QUOTA_HOMES 3
#define QUOTA_REPLY_MS 100   /* a home that takes longer counts as silent */
#define QUOTA_SILENT_MS 1000 /* and is asked last for so long */
/* A request waits for so long from when no home was reached.  */
#define QUOTA_PATIENCE_MS 1000
/* A request waits no longer for a home that will have enough.  Rejected and
   sent again, a request loses a second or more.  */
#define QUOTA_QUEUE_MS 600
/* Failure detection takes less: an interval or two of probes, and the time
   until a suspected node is declared dead, see member.h.  */
#define QUOTA_LEAVE_MS 8000
/* A home counts the share of a node that is linked for so long: until then
   the node may use it itself.  */
#define QUOTA_JOIN_MS 1500

struct quota;

/* What all requests of a customer may use in any WINDOW_MS: OVER times more
   than the rate and the burst together, and SLACK tokens.  Zeroed: no more
   than these, so that nothing is issued that no request waits for.  */
struct quota_bounds
{
  int64_t window_ms;
  double over;
  double slack;
};

struct quota_options
{
  const char *node; /* this node's name, copied */
  /* Higher than any that a former process of this node has used, such as its
     start in ns.  */
  uint64_t serial;
  struct quota_bounds bounds;
};

struct quota_limit
{
  const char *customer;
  double per_s; /* 0: no limit */
  double burst;
  bool by_tokens;
};

enum quota_action_type
{
  QUOTA_SEND_ASK,    /* to NODE: NEED, and up to WANT more */
  QUOTA_SEND_GRANT,  /* to NODE: NEED, or 0 and when to come back */
  QUOTA_SEND_RETURN, /* to NODE: NEED was not used */
  QUOTA_READY        /* requests that wait may go on */
};

struct quota_action
{
  struct action action;
  char *node; /* both owned by the action */
  char *customer;
  uint64_t number; /* of an ask and its grant; of a return */
  double need;
  double want;
  int64_t wait_ms;  /* of a refusal: when the request should come back */
  int64_t ready_ms; /* and when the home has something again */
  int64_t age_ms;   /* of what is returned */
};

enum quota_state
{
  QUOTA_TAKEN,
  QUOTA_ASKED,
  QUOTA_EXCEEDED
};

struct quota_verdict
{
  enum quota_state state;
  uint64_t wait;            /* QUOTA_ASKED: for quota_check */
  int64_t wait_ms;          /* QUOTA_EXCEEDED */
  struct quota_taken taken; /* QUOTA_TAKEN; amount 0: there is no limit */
};

/* For operators.  */
struct quota_status
{
  double per_s;     /* limit */
  double use_per_s; /* at this node */
  double balance;   /* held by this node */
  unsigned waiting;
  uint64_t exceeded; /* requests refused by this node */
  bool is_home;
  double level;                   /* of this node's bucket, if IS_HOME */
  const char *homes[QUOTA_HOMES]; /* borrowed until the next call */
  size_t home_count;
  unsigned homes_reached; /* linked, and not silent */
};

struct quota *quota_new (const struct quota_options *options);
void quota_free (struct quota *quota);

/* All nodes that are listed.  KNOWN: these are all nodes of the table.  */
void quota_set_nodes (struct quota *quota, const struct homes_node *nodes,
                      size_t count, bool known, struct timespec now);

/* The limits of all customers.  */
void quota_set_limits (struct quota *quota, const struct quota_limit *limits,
                       size_t count, struct timespec now,
                       struct action_list *actions);

/* Takes AMOUNT for a request.  If the answer is QUOTA_ASKED, the request waits
   for QUOTA_READY and calls quota_check, or quota_leave if it ends first.  */
struct quota_verdict quota_take (struct quota *quota, const char *customer,
                                 double amount, struct timespec now,
                                 struct action_list *actions);
/* Forgets WAIT unless the answer is QUOTA_ASKED.  */
struct quota_verdict quota_check (struct quota *quota, const char *customer,
                                  uint64_t wait);
void quota_leave (struct quota *quota, const char *customer, uint64_t wait,
                  struct timespec now, struct action_list *actions);

/* What a request has taken that did not run.  */
void quota_return (struct quota *quota, const char *customer,
                   const struct quota_taken *taken, struct timespec now,
                   struct action_list *actions);

/* Messages from PEER.  */
void quota_asked (struct quota *quota, const char *peer, const char *customer,
                  uint64_t number, double need, double want,
                  struct timespec now, struct action_list *actions);
/* A refusal has AMOUNT 0.  */
void quota_granted (struct quota *quota, const char *peer,
                    const char *customer, uint64_t number, double amount,
                    int64_t wait_ms, int64_t ready_ms, struct timespec now,
                    struct action_list *actions);
void quota_returned (struct quota *quota, const char *peer,
                     const char *customer, uint64_t number, double amount,
                     int64_t age_ms, struct timespec now);

void quota_tick (struct quota *quota, struct timespec now,
                 struct action_list *actions);
/* When to call quota_tick; zero: never.  */
struct timespec quota_next (const struct quota *quota);

/* False: CUSTOMER has no limit.  */
bool quota_status (struct quota *quota, const char *customer,
                   struct timespec now, struct quota_status *status);

#endif
