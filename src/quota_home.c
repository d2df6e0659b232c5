#include "quota_home.h"

#include <math.h>
#include <glib.h>
#include "ts.h"

#define RATE_MIN 1e-3 /* per s; a lower one issues nothing */
/* Shares of the burst of a part: a small request, and what may be owed.  */
#define SMALL_SHARE 0.125
#define SMALL_DEBT 0.625
#define LARGE_DEBT 0.5
#define EXTRA_SHARE 0.5    /* of the level, for what nobody waits for */
#define DURATION_MAX_S 1e6 /* of what is computed from a rate */

static struct timespec
duration (double amount, double per_s)
{
  return ts_from_s (CLAMP (amount / MAX (per_s, RATE_MIN), 0, DURATION_MAX_S));
}

/* The level of the past.  */

static int64_t
step_of (struct timespec at)
{
  return ts_to_ms (at) / QUOTA_HISTORY_STEP_MS;
}

static double *
highest_at (struct quota_bucket *bucket, int64_t step)
{
  return &bucket->highest[step % QUOTA_HISTORY_STEPS];
}

/* Steps without a change have the level of the one before.  */
static void
note_level (struct quota_bucket *bucket, struct timespec now)
{
  int64_t step = step_of (now);

  bucket->step = MAX (bucket->step, step - QUOTA_HISTORY_STEPS);
  while (bucket->step < step)
    *highest_at (bucket, ++bucket->step) = bucket->level;
  *highest_at (bucket, step) = MAX (*highest_at (bucket, step), bucket->level);
}

/* Filling.  */

static struct timespec
first_slot (const struct quota_bucket *bucket, struct timespec from)
{
  const struct quota_part *part = &bucket->part;

  return ts_add (from, duration (part->phase * part->unit, part->per_s));
}

static void
restart (struct quota_bucket *bucket, struct timespec ready_at)
{
  bucket->level = MIN (bucket->level, 0);
  bucket->ready_at = ts_max (bucket->ready_at, ready_at);
  bucket->next = first_slot (bucket, bucket->ready_at);
}

static void
fill (struct quota_bucket *bucket, struct timespec now)
{
  const struct quota_part *part = &bucket->part;
  struct timespec from = ts_max (bucket->filled_at, bucket->ready_at);

  if (ts_before (ts_add_ms (bucket->filled_at, QUOTA_PAUSE_MS), now))
    {
      restart (bucket, ts_add_ms (now, QUOTA_HOLD_MS));
      bucket->started_at = now;
    }
  else if (!part->slots && ts_before (from, now))
    bucket->level += part->per_s * ts_to_s (ts_sub (now, from));
  bucket->level = MIN (bucket->level, part->burst);
  bucket->filled_at = now;
  note_level (bucket, now);
}

void
quota_bucket_start (struct quota_bucket *bucket, struct timespec ready_at,
                    struct timespec now)
{
  *bucket = (struct quota_bucket){ .part = bucket->part,
                                   .started_at = now,
                                   .ready_at = ready_at,
                                   .filled_at = now,
                                   .step = step_of (now) };
  bucket->next = first_slot (bucket, ready_at);
}

/* What is left until the next slot passes at the new rate.  */
static void
rescale_slot (struct quota_bucket *bucket, double old_per_s,
              struct timespec now)
{
  double left_s = ts_to_s (ts_sub (bucket->next, now));

  if (left_s > 0 && old_per_s > 0)
    bucket->next
        = ts_add (now, duration (left_s * old_per_s, bucket->part.per_s));
}

void
quota_bucket_set (struct quota_bucket *bucket, const struct quota_part *part,
                  struct timespec now)
{
  struct quota_part old = bucket->part;

  fill (bucket, now);
  bucket->part = *part;
  bucket->level = MIN (bucket->level, part->burst);
  if (part->slots != old.slots || old.per_s == 0)
    {
      bucket->level = MIN (bucket->level, 0);
      bucket->next = first_slot (bucket, ts_max (now, bucket->ready_at));
    }
  else if (part->slots && part->per_s != old.per_s)
    rescale_slot (bucket, old.per_s, now);
}

void
quota_bucket_give_back (struct quota_bucket *bucket, double amount,
                        struct timespec issued_at, struct timespec now)
{
  int64_t first = step_of (issued_at);
  double step_fill = bucket->part.per_s * QUOTA_HISTORY_STEP_MS / TS_MS_PER_S;

  if (bucket->part.slots || ts_before (issued_at, bucket->started_at))
    return;
  fill (bucket, now);
  if (first <= bucket->step - QUOTA_HISTORY_STEPS)
    return;
  for (int64_t step = first; step <= bucket->step; step++)
    {
      double *highest = highest_at (bucket, step);
      double room = MAX (bucket->part.burst - *highest, 0);

      /* The highest level of this step may be that before the issue.  */
      if (step == first)
        room = MAX (room, amount - step_fill);
      amount = CLAMP (room, 0, amount);
      *highest += amount;
    }
  bucket->level = MIN (bucket->level + amount, bucket->part.burst);
}

/* Issuing.  */

static int64_t
ms_until (struct timespec at, struct timespec now)
{
  return CLAMP (ts_to_ms (ts_sub (at, now)) + 1, 1, QUOTA_PROMISE_MAX_MS);
}

static void
skip_missed_slots (struct quota_bucket *bucket, struct timespec now)
{
  double late_s = ts_to_s (ts_sub (now, bucket->next))
                  - (double)QUOTA_SLOT_MS / (double)TS_MS_PER_S;
  double slot_s = ts_to_s (duration (bucket->part.unit, bucket->part.per_s));

  if (late_s > 0)
    bucket->next
        = ts_add (bucket->next, ts_from_s (ceil (late_s / slot_s) * slot_s));
}

static bool
issue_slot (struct quota_bucket *bucket, double need, struct timespec now,
            int64_t *ready_ms)
{
  skip_missed_slots (bucket, now);
  if (ts_before (now, bucket->next))
    {
      *ready_ms = ms_until (bucket->next, now);
      return false;
    }
  bucket->next = ts_add (bucket->next, duration (need, bucket->part.per_s));
  return true;
}

/* The level from which NEED is issued.  The debt that is left lets a bucket
   that is smaller than two requests not overflow between them.  Small requests
   may owe more, so that large ones, which need most of the quota for few
   callers, do not keep them from it.  */
static double
least_level (const struct quota_part *part, double need)
{
  double least = MIN (need, part->burst);
  double debt = need <= SMALL_SHARE * part->burst ? SMALL_DEBT : LARGE_DEBT;

  return part->owes ? least - debt * part->burst : least;
}

bool
quota_bucket_issue (struct quota_bucket *bucket, double need,
                    struct timespec now, int64_t *ready_ms)
{
  double per_s = bucket->part.per_s;
  double least = least_level (&bucket->part, need);

  fill (bucket, now);
  if (ts_before (now, bucket->ready_at))
    *ready_ms = ms_until (bucket->ready_at, now);
  else if (per_s < RATE_MIN)
    *ready_ms = QUOTA_PROMISE_MAX_MS;
  else if (bucket->part.slots)
    return issue_slot (bucket, need, now, ready_ms);
  else if (bucket->level < least)
    *ready_ms = ms_until (
        ts_add (now, duration (least - bucket->level, per_s)), now);
  else
    {
      bucket->level -= need;
      return true;
    }
  return false;
}

double
quota_bucket_issue_extra (struct quota_bucket *bucket, double want,
                          struct timespec now)
{
  double extra;

  fill (bucket, now);
  if (bucket->part.slots || ts_before (now, bucket->ready_at))
    return 0;
  /* Messages carry whole amounts.  */
  extra = floor (CLAMP (bucket->level * EXTRA_SHARE, 0, want));
  bucket->level -= extra;
  return extra;
}

int64_t
quota_bucket_promise (struct quota_bucket *bucket, double need,
                      int64_t ready_ms, struct timespec now)
{
  struct timespec ready = ts_add_ms (now, ready_ms);
  struct timespec last = ts_add_ms (now, QUOTA_PROMISE_MAX_MS);
  struct timespec told = ts_max (bucket->promised, ready);

  if (ts_before (last, told))
    told = ready;
  bucket->promised = ts_add (told, duration (need, bucket->part.per_s));
  return ms_until (told, now);
}
