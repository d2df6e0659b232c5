/* fairshare - keeps a customer that sends many times its usual load from
   making the others wait when capacity is short.

   What a customer has sent through this node counts in seconds of its own rate
   (a request of 300 tokens of a customer with 1000 tokens a second: 0.3 s), so
   that customers of different size and unit compare.  Requests of a customer
   without a rate, or of none, count as much as the mean request of the others:
   as if its rate were the usual one.  The sums decay with FAIRSHARE_TAU_S.

   The load that this answers: several customers share the servers, at about
   half of their quotas; one of them sends all of its quota or more, and there
   is less capacity than they want together.  Every customer is due the same
   share of its rate.  Requests of customers that have had less of it go first.
   One that has had far more, while others that have not are refused or wait,
   is "over": its requests are the first to be refused, until it is no longer.

   A decider without I/O; each node decides by what it has sent itself.  One
   thread.  Strings are copied.  */

#ifndef PARSLEYRILL_FAIRSHARE_H
#define PARSLEYRILL_FAIRSHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define FAIRSHARE_TAU_S 4.0
/* Far more than the share that all are due.  With usual demand at 0.55 of the
   quota, one of 16 customers that uses all of its quota has 1.7 times.  */
#define FAIRSHARE_OVER 1.5
/* Not for so few requests, in its own mean requests: customers that send
   rarely come to several times their share with each request.  */
#define FAIRSHARE_OVER_REQUESTS 3.0
/* A customer is not over while it is served less than this part as often as
   the others: none may be served less than a quarter as often as all.  */
#define FAIRSHARE_SERVED_MIN 0.5
/* For so long after a request was refused, capacity counts as short.  */
#define FAIRSHARE_SHORT_MS 2000
#define FAIRSHARE_REFRESH_MS 20 /* between two looks at all customers */

struct fairshare;

struct fairshare_request
{
  const char *customer; /* NULL: none */
  double cost_s;        /* of the customer's rate; 0: it has none */
};

/* A request that waits.  */
struct fairshare_item
{
  struct fairshare_request request;
  unsigned priority; /* 0 is the highest */
  struct timespec deadline;
  void *user;
  double tag; /* owned by the module */
};

struct fairshare *fairshare_new (void);
void fairshare_free (struct fairshare *share); /* NULL allowed */

/* The request was sent to a server.  */
void fairshare_sent (struct fairshare *share,
                     const struct fairshare_request *request,
                     struct timespec now);
/* The request was refused for lack of capacity.  */
void fairshare_refused (struct fairshare *share,
                        const struct fairshare_request *request,
                        struct timespec now);
/* CHANGE: 1, the request begins to wait for capacity; -1, it ends to.  */
void fairshare_waits (struct fairshare *share,
                      const struct fairshare_request *request, int change,
                      struct timespec now);

/* Whether the customer, which may be NULL, is over.  */
bool fairshare_is_over (struct fairshare *share, const char *customer,
                        struct timespec now);

/* Sorts ITEMS into the order in which they should be sent: by priority, within
   one by the share that their customer will have had before them
   (start-time fair queueing), within a customer by deadline.  Returns false,
   and does nothing, if all are of one customer.  */
bool fairshare_order (struct fairshare *share, struct fairshare_item *items,
                      size_t count, struct timespec now);

/* Forgets customers that have not sent anything for long.  */
void fairshare_clean (struct fairshare *share, struct timespec now);

#endif
