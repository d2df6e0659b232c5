#include "budget.h"

#include <math.h>
#include <sys/param.h>
#include "ts.h"

#define BUDGET_BURST 1.0       /* loads that may start together */
#define BUDGET_SLOW_WEIGHT 0.3 /* of the newest measurement */
#define BUDGET_SLOW_MAX 16.0
/* A fetch that takes so much longer was slowed down by others: reports of its
   end come late by less.  */
#define SLOWED 1.25
#define KEPT_MANY 4 /* fetches at full speed until one more is tried */

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
  budget->kept = 0;
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
budget_record_fetch (struct budget *budget, unsigned abreast,
                     double measured_s, double nominal_s)
{
  double slow;

  if (nominal_s <= 0.0)
    return;
  slow = measured_s / nominal_s;
  if (slow > SLOWED)
    {
      budget->full_speed = MAX (1, (unsigned)lround (abreast / slow));
      budget->kept = 0;
    }
  else if (abreast >= budget->full_speed && ++budget->kept >= KEPT_MANY)
    {
      budget->full_speed++;
      budget->kept = 0;
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
