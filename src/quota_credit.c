#include "quota_credit.h"

#include <math.h>
#include "ts.h"

#define USE_MEMORY_S 2.0 /* time constant of the use */
#define ROUNDING 1e-6    /* of sums of amounts */

void
quota_credit_init (struct quota_credit *credit)
{
  *credit = (struct quota_credit){ 0 };
  credit->lots = g_array_new (FALSE, FALSE, sizeof (struct quota_taken));
}

void
quota_credit_clear (struct quota_credit *credit)
{
  g_array_unref (credit->lots);
}

static struct quota_taken *
lot (const struct quota_credit *credit, guint i)
{
  return &g_array_index (credit->lots, struct quota_taken, i);
}

static void
drop_lapsed (struct quota_credit *credit, struct timespec now)
{
  guint n = 0;

  while (n < credit->lots->len
         && ts_before (ts_add_ms (lot (credit, n)->at, QUOTA_CREDIT_MS), now))
    n++;
  if (n > 0)
    g_array_remove_range (credit->lots, 0, n);
}

double
quota_credit_balance (struct quota_credit *credit, struct timespec now)
{
  double sum = 0;

  drop_lapsed (credit, now);
  for (guint i = 0; i < credit->lots->len; i++)
    sum += lot (credit, i)->amount;
  return sum;
}

void
quota_credit_add (struct quota_credit *credit, double amount,
                  struct timespec at)
{
  struct quota_taken added = { amount, at };
  guint i = credit->lots->len;

  if (amount <= 0)
    return;
  while (i > 0 && ts_before (at, lot (credit, i - 1)->at))
    i--;
  g_array_insert_val (credit->lots, i, added);
}

bool
quota_credit_take (struct quota_credit *credit, double amount,
                   struct timespec now, struct quota_taken *taken)
{
  double left = amount;

  if (quota_credit_balance (credit, now) + ROUNDING < amount)
    return false;
  *taken = (struct quota_taken){ amount, now };
  while (left > ROUNDING && credit->lots->len > 0)
    {
      struct quota_taken *first = lot (credit, 0);
      double part = MIN (left, first->amount);

      taken->at = ts_min (taken->at, first->at);
      left -= part;
      first->amount -= part;
      if (first->amount <= ROUNDING)
        g_array_remove_index (credit->lots, 0);
    }
  return true;
}

bool
quota_credit_take_due (struct quota_credit *credit, struct timespec now,
                       struct quota_taken *due)
{
  struct timespec at = quota_credit_due_at (credit);

  if (ts_is_zero (at) || ts_before (now, at))
    return false;
  *due = *lot (credit, 0);
  g_array_remove_index (credit->lots, 0);
  return true;
}

struct timespec
quota_credit_due_at (const struct quota_credit *credit)
{
  if (credit->lots->len == 0)
    return (struct timespec){ 0 };
  return ts_add_ms (lot (credit, 0)->at, QUOTA_CREDIT_RETURN_MS);
}

static double
decayed (const struct quota_credit *credit, struct timespec now)
{
  double age_s = ts_to_s (ts_sub (now, credit->used_at));

  return credit->used * exp (-MAX (age_s, 0) / USE_MEMORY_S);
}

void
quota_credit_note_use (struct quota_credit *credit, double amount,
                       struct timespec now)
{
  credit->used = decayed (credit, now) + amount;
  credit->used_at = now;
}

double
quota_credit_use_per_s (const struct quota_credit *credit, struct timespec now)
{
  return decayed (credit, now) / USE_MEMORY_S;
}
