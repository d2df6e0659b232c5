#include "budget.h"

#include <math.h>
#include <sys/param.h>
#include "ts.h"

#define BUDGET_BURST 1.0       /* fetches that may start together */
#define BUDGET_SLOW_WEIGHT 0.3 /* of the newest measurement */
#define BUDGET_SLOW_MAX 16.0
/* Ratio of measured to nominal time above which a fetch was slowed down by
   others; reports of its end are late by less than that.  */
#define SLOWED_RATIO 1.25
/* Fetches at full speed until one more fetch in flight is tried.  */
#define RAISE_AFTER 4

static void
refill (struct budget *budget, struct timespec now)
{
  double passed_s = ts_to_s (ts_sub (now, budget->filled_at));

  if (passed_s <= 0.0)
    return;
  budget->tokens += passed_s * budget->per_s;
  if (budget->tokens > BUDGET_BURST)
    budget->tokens = BUDGET_BURST;
  budget->filled_at = now;
}

void
budget_init (struct budget *budget, double per_s, unsigned at_once,
             struct timespec now)
{
  budget->per_s = per_s;
  budget->at_once = at_once;
  budget->full_speed = at_once;
  budget->at_full_speed = 0;
  budget->in_flight = 0;
  budget->tokens = BUDGET_BURST;
  budget->filled_at = now;
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
  slow = slow > BUDGET_SLOW_MAX ? BUDGET_SLOW_MAX : slow;
  budget->slow += BUDGET_SLOW_WEIGHT * (slow - budget->slow);
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
      budget->full_speed = MAX (1, (unsigned)lround (concurrent / slow));
      budget->at_full_speed = 0;
    }
  else if (concurrent >= budget->full_speed
           && ++budget->at_full_speed >= RAISE_AFTER)
    {
      budget->full_speed++;
      budget->at_full_speed = 0;
    }
}

unsigned
budget_max_in_flight (const struct budget *budget)
{
  return MIN (budget->at_once, budget->full_speed);
}

struct timespec
budget_next_at (const struct budget *budget, struct timespec now)
{
  double missing = 1.0 - budget->tokens;
  struct timespec at;

  if (missing <= 0.0 || budget->per_s <= 0.0)
    return now;
  at = ts_add (budget->filled_at, ts_from_s (missing / budget->per_s));
  return ts_max (at, now);
}
