#include "retry.h"

#include <limits.h>
#include "ts.h"

#define HUNDREDTHS_PER_RETRY 100
#define UNLIMITED (UINT_MAX / 2) /* hundredths */

/* Budgets are in hundredths of a retry.  */
struct retry
{
  unsigned percent; /* added to the budgets by a first attempt */
  unsigned budget;
  unsigned budget_max;
  unsigned target_budget_max;
  GHashTable *targets; /* name -> budget */
};

struct retry *
retry_new (unsigned threads)
{
  struct retry_options options
      = { .percent = RETRY_PERCENT, .burst = RETRY_TARGET_BURST };
  struct retry *retry = retry_new_per_target (&options);

  retry->budget_max = RETRY_BURST * HUNDREDTHS_PER_RETRY / MAX (threads, 1);
  retry->budget = retry->budget_max;
  return retry;
}

struct retry *
retry_new_per_target (const struct retry_options *options)
{
  struct retry *retry = g_new0 (struct retry, 1);

  retry->budget_max = UNLIMITED;
  retry->budget = UNLIMITED;
  retry->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  retry_set_limits (retry, options);
  return retry;
}

void
retry_set_limits (struct retry *retry, const struct retry_options *options)
{
  GHashTableIter iter;
  gpointer hundredths;

  retry->percent = options->percent;
  retry->target_budget_max = options->burst * HUNDREDTHS_PER_RETRY;
  g_hash_table_iter_init (&iter, retry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &hundredths))
    if (GPOINTER_TO_UINT (hundredths) > retry->target_budget_max)
      g_hash_table_iter_replace (&iter,
                                 GUINT_TO_POINTER (retry->target_budget_max));
}

void
retry_free (struct retry *retry)
{
  if (retry == NULL)
    return;
  g_hash_table_destroy (retry->targets);
  g_free (retry);
}

static unsigned
target_budget (struct retry *retry, const char *target)
{
  gpointer hundredths;

  if (g_hash_table_lookup_extended (retry->targets, target, NULL, &hundredths))
    return GPOINTER_TO_UINT (hundredths);
  return retry->target_budget_max;
}

/* Full budgets are not stored, which bounds the size of the table.  */
static void
set_target_budget (struct retry *retry, const char *target,
                   unsigned hundredths)
{
  if (hundredths >= retry->target_budget_max)
    g_hash_table_remove (retry->targets, target);
  else
    g_hash_table_replace (retry->targets, g_strdup (target),
                          GUINT_TO_POINTER (hundredths));
}

void
retry_deposit (struct retry *retry, const char *target)
{
  unsigned hundredths = target_budget (retry, target);

  retry->budget = MIN (retry->budget + retry->percent, retry->budget_max);
  if (hundredths < retry->target_budget_max)
    set_target_budget (retry, target, hundredths + retry->percent);
}

bool
retry_available (struct retry *retry, const char *target)
{
  return retry->budget >= HUNDREDTHS_PER_RETRY
         && target_budget (retry, target) >= HUNDREDTHS_PER_RETRY;
}

bool
retry_withdraw (struct retry *retry, const char *target)
{
  unsigned hundredths = target_budget (retry, target);

  if (!retry_available (retry, target))
    return false;
  retry->budget -= HUNDREDTHS_PER_RETRY;
  set_target_budget (retry, target, hundredths - HUNDREDTHS_PER_RETRY);
  return true;
}

struct timespec
retry_delay (unsigned n, bool not_run, GRand *rand)
{
  int64_t max_ms = RETRY_BASE_MS;

  if (not_run)
    return ts_from_ms (0);
  for (unsigned i = 2; i < n && max_ms < RETRY_MAX_MS; i++)
    max_ms *= 2;
  max_ms = MIN (max_ms, RETRY_MAX_MS);
  return ts_from_s (g_rand_double (rand) * (double)max_ms
                    / (double)TS_MS_PER_S);
}
