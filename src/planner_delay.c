#include "planner_delay.h"

#include <stddef.h>
#include <sys/param.h>
#include "delay.h"

/* Requests that a model's profile remembers.  */
#define WINDOW 200.0
/* Kinds with fewer of all requests than this do not decide.  */
#define KIND_MIN_SHARE 0.03
/* Tokens of a prompt of unknown length: DELAY_QUEUED_S to read.  */
#define UNKNOWN_TOKENS 3870.0
/* Part of the shared tokens that is found in the engine's cache.  */
#define CACHED_SHARE 0.5
/* Requests name an upper limit of the tokens to generate.  */
#define ANSWER_SHARE 0.7
/* One step of generation, and its growth for each request that runs: events of
   5 tokens take 15 to 22 ms at pace 0.55, and 33 to 54 ms at pace 1.2 with 3
   to 7 requests running.  */
#define STEP_S 0.005
#define STEP_RUNNING_S 0.0003
#define EVENT_TOKENS 5.0
/* Time to read DELAY_PIECE_TOKENS.  */
#define PIECE_S 0.0529
/* Limits of utilization up to which the formulas for a steady state hold.
   Beyond, delays grow linearly, so that more work still counts as worse.  */
#define UTILIZATION_MAX 0.9
#define OVERLOAD_SLOPE 100.0
#define GENERATING_MAX 0.9
/* The wait that few requests exceed, as a multiple of the mean one.  It is 3
   for 1 of 20 of exponentially distributed waits; another third for arrivals
   that the nodes do not spread evenly.  */
#define TAIL 4.0
/* The mean wait of prompts of equal length is half of the time to read one
   times rho / (1 - rho).  */
#define MEAN_WAIT 0.5
/* The pause that few events exceed, as a multiple of the mean one.  */
#define PAUSE_TAIL 3.0
/* An objective is at least this multiple of the delay at an idle engine.  */
#define OBJECTIVE_MIN 1.5
/* How much more a request of priority 0 is worth than others.  */
#define URGENT_WEIGHT 10.0

/* An engine in a steady state.  */
struct steady
{
  double slow;        /* times at pace 1 are multiplied by this: reading */
  double step_s;      /* one step of generation */
  double utilization; /* share of time for reading */
  double wait_s;      /* mean wait before a prompt is read */
};

double
planner_delay_tokens (double prompt_tokens, double shared_tokens)
{
  if (prompt_tokens <= 0)
    return UNKNOWN_TOKENS;
  return prompt_tokens - CACHED_SHARE * MIN (shared_tokens, prompt_tokens);
}

/* The kind to which requests like KIND are added.  */
static struct planner_delay_kind *
find_kind (struct planner_delay_requests *requests,
           const struct planner_delay_kind *like)
{
  struct planner_delay_kind *rarest = &requests->kinds[0];

  for (unsigned i = 0; i < requests->used; i++)
    {
      struct planner_delay_kind *kind = &requests->kinds[i];

      if (kind->objective_s == like->objective_s && kind->gap_s == like->gap_s)
        return kind;
      if (kind->count < rarest->count)
        rarest = kind;
    }
  if (requests->used < PLANNER_DELAY_KINDS)
    rarest = &requests->kinds[requests->used++];
  *rarest = (struct planner_delay_kind){ .objective_s = like->objective_s,
                                         .gap_s = like->gap_s,
                                         .priority = like->priority };
  return rarest;
}

void
planner_delay_add (struct planner_delay_requests *requests,
                   const struct planner_delay_kind *kind)
{
  struct planner_delay_kind *to;
  double weight;
  double keep = MAX (1 - kind->count / WINDOW, 0);

  if (kind->count <= 0)
    return;
  to = find_kind (requests, kind);
  requests->count = 0;
  for (unsigned i = 0; i < requests->used; i++)
    requests->kinds[i].count *= keep;
  to->count += kind->count;
  weight = MIN (kind->count / to->count, 1);
  to->tokens += weight * (kind->tokens - to->tokens);
  to->answer_tokens += weight * (kind->answer_tokens - to->answer_tokens);
  to->priority = to->count > kind->count ? MIN (to->priority, kind->priority)
                                         : kind->priority;
  for (unsigned i = 0; i < requests->used; i++)
    requests->count += requests->kinds[i].count;
}

struct planner_delay_work
planner_delay_unit (const struct planner_delay_requests *requests)
{
  struct planner_delay_work unit = { 0 };

  for (unsigned i = 0; i < requests->used && requests->count > 0; i++)
    {
      const struct planner_delay_kind *kind = &requests->kinds[i];
      double share = kind->count / requests->count;
      double read_s = delay_read_s ((uint64_t)kind->tokens);

      unit.read_s += share * read_s;
      unit.read_square_s += share * read_s * read_s;
      unit.tokens += share * ANSWER_SHARE * kind->answer_tokens;
    }
  return unit;
}

/* Of N requests that run, each generates a token every STEP_S + N *
   STEP_RUNNING_S, and N is the number of tokens a second times that.  */
static double
step_s (const struct planner_delay_work *work, double pace)
{
  double tokens = MAX (work->tokens, 0) * pace;
  double share = MIN (tokens * STEP_RUNNING_S, GENERATING_MAX);
  double running = tokens * STEP_S / (1 - share);

  return pace * (STEP_S + running * STEP_RUNNING_S);
}

static double
growth (double utilization)
{
  double bounded = MIN (utilization, UTILIZATION_MAX);

  return bounded / (1 - bounded) + OVERLOAD_SLOPE * (utilization - bounded);
}

/* What pieces of prompts and the steps in between take, times the pace.  A
   step of the requests that run follows each piece.  */
static inline double
slow (double step_s, double pace)
{
  return pace + step_s / PIECE_S;
}

static struct steady
steady (const struct planner_delay_work *work, double pace)
{
  struct steady steady = { .step_s = step_s (work, pace) };

  steady.slow = slow (steady.step_s, pace);
  steady.utilization = MAX (steady.slow * work->read_s, 0);
  if (work->read_s > 0 && work->read_square_s > 0)
    steady.wait_s = MEAN_WAIT * growth (steady.utilization) * steady.slow
                    * work->read_square_s / work->read_s;
  return steady;
}

double
planner_delay_utilization (const struct planner_delay_work *work, double pace)
{
  return MAX (slow (step_s (work, pace), pace) * work->read_s, 0);
}

/* From the time when an engine begins to read the prompt, which takes READ_S
   at pace 1.  */
static double
first_event_s (double read_s, const struct steady *steady)
{
  return steady->slow * read_s + EVENT_TOKENS * steady->step_s;
}

double
planner_delay_s (const struct planner_delay_work *unit,
                 const struct planner_delay_work *work, double pace)
{
  struct steady at = steady (work, pace);

  return at.wait_s + first_event_s (unit->read_s, &at);
}

/* The mean pause between two events of a stream.  */
static double
pause_s (const struct steady *steady, double pace)
{
  return EVENT_TOKENS
         * (steady->step_s + MIN (steady->utilization, 1) * pace * PIECE_S);
}

/* IDLE is the engine AT without work.  */
static double
kind_ratio (const struct planner_delay_kind *kind, const struct steady *at,
            const struct steady *idle, double pace)
{
  double read_s = delay_read_s ((uint64_t)kind->tokens);
  double delay_s = first_event_s (read_s, at) + TAIL * at->wait_s;
  double least_s = OBJECTIVE_MIN * first_event_s (read_s, idle);
  double ratio = 0;

  if (kind->objective_s > 0)
    ratio = delay_s / MAX (kind->objective_s, least_s);
  if (kind->gap_s > 0)
    {
      least_s = OBJECTIVE_MIN * PAUSE_TAIL * pause_s (idle, pace);
      ratio = MAX (ratio, PAUSE_TAIL * pause_s (at, pace)
                              / MAX (kind->gap_s, least_s));
    }
  return ratio;
}

double
planner_delay_ratio (const struct planner_delay_requests *requests,
                     const struct planner_delay_work *work, double pace)
{
  const struct planner_delay_work none = { 0 };
  struct steady at = steady (work, pace);
  struct steady idle = steady (&none, pace);
  double ratio = 0;

  for (unsigned i = 0; i < requests->used; i++)
    if (requests->kinds[i].count >= KIND_MIN_SHARE * requests->count)
      ratio = MAX (ratio, kind_ratio (&requests->kinds[i], &at, &idle, pace));
  return ratio;
}

/* Whether N replicas suffice, see planner_delay_replicas.  */
static bool
suffice (const struct planner_delay_requests *requests,
         const struct planner_delay_work *unit, double per_s,
         const struct planner_delay_work *other, double pace, double limit,
         unsigned n)
{
  struct planner_delay_work work = *other;

  planner_delay_add_work (&work, unit, per_s / n);
  return planner_delay_ratio (requests, &work, pace) <= limit;
}

unsigned
planner_delay_replicas (const struct planner_delay_requests *requests,
                        double per_s, const struct planner_delay_work *other,
                        double pace, double limit)
{
  struct planner_delay_work unit = planner_delay_unit (requests);
  unsigned low = 1;
  unsigned high = PLANNER_DELAY_REPLICAS_MAX;

  if (per_s < PLANNER_DELAY_MIN_PER_S || requests->count <= 0)
    return 0;
  if (suffice (requests, &unit, per_s, other, pace, limit, 1))
    return 1;
  while (low + 1 < high)
    {
      unsigned middle = (low + high) / 2;

      if (suffice (requests, &unit, per_s, other, pace, limit, middle))
        high = middle;
      else
        low = middle;
    }
  return high;
}

double
planner_delay_priority_weight (unsigned priority)
{
  return priority == 0 ? URGENT_WEIGHT : 1;
}

double
planner_delay_weight (const struct planner_delay_requests *requests)
{
  double sum = 0;

  if (requests->count <= 0)
    return 1;
  for (unsigned i = 0; i < requests->used; i++)
    sum += requests->kinds[i].count
           * planner_delay_priority_weight (requests->kinds[i].priority);
  return sum / requests->count;
}
