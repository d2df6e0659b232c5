/* planner_delay - expected delay of requests at an engine, given everything
   that the engine serves, and the number of replicas that keeps it within the
   objectives.

   An engine reads prompts one after another, in pieces between the steps of
   the requests that run, which all generate one token in each step.  The wait
   for the prompts that arrived before grows like rho / (1 - rho), where rho is
   the share of time for which the engine reads.  Its pace multiplies all
   times.

   Pure functions.  Times are in seconds, at pace 1 where a comment says so.
   One thread.  */

#ifndef PARSLEYRILL_PLANNER_DELAY_H
#define PARSLEYRILL_PLANNER_DELAY_H

#include <stdbool.h>

#define PLANNER_DELAY_KINDS 4 /* kinds of requests that are told apart */
/* Below this rate a model needs no replica.  */
#define PLANNER_DELAY_MIN_PER_S 0.001
/* Most replicas that planner_delay_replicas finds necessary.  */
#define PLANNER_DELAY_REPLICAS_MAX 64

/* Requests with the same objective.  A zeroed one is new.  */
struct planner_delay_kind
{
  double count;  /* decaying number of requests seen */
  double tokens; /* mean length of the prompt that has to be read */
  double answer_tokens;
  double objective_s; /* to the first event */
  double gap_s;       /* longest pause between two events; 0: no stream */
  unsigned priority;  /* of the most urgent; 0 is the highest */
};

/* What the requests for one model are like.  A zeroed one is new.  */
struct planner_delay_requests
{
  struct planner_delay_kind kinds[PLANNER_DELAY_KINDS];
  unsigned used;
  double count; /* sum over KINDS */
};

/* What an engine does in one second, at pace 1.  */
struct planner_delay_work
{
  double read_s;        /* reading prompts */
  double read_square_s; /* sum of the squares of the times to read a prompt */
  double tokens;        /* generated */
};

/* Tokens that have to be read of a prompt of PROMPT_TOKENS, of which
   SHARED_TOKENS are also in other requests.  */
double planner_delay_tokens (double prompt_tokens, double shared_tokens);

/* Requests of KIND were seen, KIND->count of them.  */
void planner_delay_add (struct planner_delay_requests *requests,
                        const struct planner_delay_kind *kind);

/* The work of one of REQUESTS a second.  */
struct planner_delay_work
planner_delay_unit (const struct planner_delay_requests *requests);

/* Adds that of PER_S requests a second to WORK, less than 0 to remove it.  */
static inline void
planner_delay_add_work (struct planner_delay_work *work,
                        const struct planner_delay_work *unit, double per_s)
{
  work->read_s += per_s * unit->read_s;
  work->read_square_s += per_s * unit->read_square_s;
  work->tokens += per_s * unit->tokens;
}

/* The share of time for which an engine with WORK and PACE reads prompts; may
   exceed 1.  */
double planner_delay_utilization (const struct planner_delay_work *work,
                                  double pace);

/* The expected time until the first event of a request with the work UNIT, at
   an engine with WORK and PACE.  Finite, and greater with more work.  */
double planner_delay_s (const struct planner_delay_work *unit,
                        const struct planner_delay_work *work, double pace);

/* The greatest ratio of the delay that few requests exceed to the objective,
   and of the pause that few events exceed to the target, over the kinds of
   REQUESTS.  Above 1: the engine serves them too slowly.  An objective that an
   idle engine of this pace would miss is taken for one that it meets.  */
double planner_delay_ratio (const struct planner_delay_requests *requests,
                            const struct planner_delay_work *work,
                            double pace);

/* The smallest number of replicas at which planner_delay_ratio is at most
   LIMIT, for PER_S REQUESTS a second, shared equally by engines of PACE that
   have OTHER work besides.  */
unsigned planner_delay_replicas (const struct planner_delay_requests *requests,
                                 double per_s,
                                 const struct planner_delay_work *other,
                                 double pace, double limit);

/* What a request of PRIORITY counts.  */
double planner_delay_priority_weight (unsigned priority);

/* Mean of that over REQUESTS.  */
double planner_delay_weight (const struct planner_delay_requests *requests);

#endif
