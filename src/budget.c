#include "budget.h"

#include <math.h>
#include <sys/param.h>
#include "ts.h"

#define BURST_FETCHES 1.0   /* fetches that may start together */
#define SLOWDOWN_WEIGHT 0.3 /* of a new sample in the moving average */
#define SLOWDOWN_MAX 16.0
/* Ratio of measured to nominal time above which a fetch counts as slowed down
   by others.  The delay of reports raises the ratio by less than that.  */
#define SLOWED_RATIO 1.25
/* Fetches not slowed down before the concurrency limit is raised by one.  */
#define RAISE_AFTER 4

static void
refill (struct budget *budget, struct timespec now)
{
  double passed_s = ts_to_s (ts_sub (now, budget->refilled_at));

  if (passed_s <= 0.0)
    return;
  budget->tokens += passed_s * budget->per_s;
  if (budget->tokens > BURST_FETCHES)
    budget->tokens = BURST_FETCHES;
  budget->refilled_at = now;
}

void
budget_init (struct budget *budget, double per_s, unsigned at_once,
             struct timespec now)
{
  budget->per_s = per_s;
  budget->at_once = at_once;
  budget->concurrency_limit = at_once;
  budget->unslowed_count = 0;
  budget->in_flight = 0;
  budget->tokens = BURST_FETCHES;
  budget->refilled_at = now;
  budget->slow = 1.0;
}

void
budget_set_limits (struct budget *budget, double per_s, unsigned at_once,
                   struct timespec now)
{
  refill (budget, now);
  budget->per_s = per_s;
  budget->at_once = at_once;
}

void
budget_assume_single (struct budget *budget)
{
  budget->concurrency_limit = 1;
  budget->unslowed_count = 0;
}

bool
budget_allows (struct budget *budget, struct timespec now)
{
  refill (budget, now);
  return budget->in_flight < budget_max_in_flight (budget)
         && budget->tokens >= 1.0 - 1e-6;
}

void
budget_take (struct budget *budget, struct timespec now)
{
  refill (budget, now);
  budget->tokens -= 1.0;
  budget->in_flight++;
}

void
budget_done (struct budget *budget, double measured_s, double nominal_s)
{
  double slow;

  if (budget->in_flight > 0)
    budget->in_flight--;
  if (measured_s <= 0.0 || nominal_s <= 0.0)
    return;
  slow = measured_s / nominal_s;
  slow = slow < 1.0 ? 1.0 : slow;
  slow = slow > SLOWDOWN_MAX ? SLOWDOWN_MAX : slow;
  budget->slow += SLOWDOWN_WEIGHT * (slow - budget->slow);
}

void
budget_record_fetch (struct budget *budget, unsigned concurrent,
                     double measured_s, double nominal_s)
{
  double slow;

  if (nominal_s <= 0.0)
    return;
  slow = measured_s / nominal_s;
  if (slow > SLOWED_RATIO)
    {
      budget->concurrency_limit
          = MAX (1, (unsigned)lround (concurrent / slow));
      budget->unslowed_count = 0;
    }
  else if (concurrent >= budget->concurrency_limit
           && ++budget->unslowed_count >= RAISE_AFTER)
    {
      budget->concurrency_limit++;
      budget->unslowed_count = 0;
    }
}

bool
budget_is_slowed (double so_far_s, double nominal_s)
{
  return nominal_s > 0 && so_far_s > SLOWED_RATIO * nominal_s;
}

void
budget_slowed (struct budget *budget, unsigned concurrent)
{
  if (concurrent < 2)
    return;
  budget->concurrency_limit = MIN (budget->concurrency_limit, concurrent - 1);
  budget->unslowed_count = 0;
}

unsigned
budget_max_in_flight (const struct budget *budget)
{
  return MIN (budget->at_once, budget->concurrency_limit);
}

struct timespec
budget_next_at (const struct budget *budget, struct timespec now)
{
  double missing = 1.0 - budget->tokens;
  struct timespec at;

  if (missing <= 0.0 || budget->per_s <= 0.0)
    return now;
  at = ts_add (budget->refilled_at, ts_from_s (missing / budget->per_s));
  return ts_max (at, now);
}
