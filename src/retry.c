#include "retry.h"

#include <limits.h>
#include "ts.h"

#define PARTS_PER_RETRY 100      /* unit of the budgets */
#define UNLIMITED (UINT_MAX / 2) /* hundredths */

struct retry
{
  unsigned percent;
  unsigned budget;            /* hundredths */
  unsigned budget_max;        /* hundredths */
  unsigned target_budget_max; /* hundredths */
  GHashTable *targets;        /* name -> hundredths */
};

struct retry *
retry_new (unsigned threads)
{
  struct retry_options options
      = { .percent = RETRY_PERCENT, .burst = RETRY_TARGET_BURST };
  struct retry *retry = retry_new_per_target (&options);

  retry->budget_max = RETRY_BURST * PARTS_PER_RETRY / MAX (threads, 1);
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
  gpointer parts;

  retry->percent = options->percent;
  retry->target_budget_max = options->burst * PARTS_PER_RETRY;
  g_hash_table_iter_init (&iter, retry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &parts))
    if (GPOINTER_TO_UINT (parts) > retry->target_budget_max)
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
  gpointer parts;

  if (g_hash_table_lookup_extended (retry->targets, target, NULL, &parts))
    return GPOINTER_TO_UINT (parts);
  return retry->target_budget_max;
}

/* Full budgets are not stored, which bounds the size of the table.  */
static void
set_target_budget (struct retry *retry, const char *target, unsigned parts)
{
  if (parts >= retry->target_budget_max)
    g_hash_table_remove (retry->targets, target);
  else
    g_hash_table_replace (retry->targets, g_strdup (target),
                          GUINT_TO_POINTER (parts));
}

void
retry_deposit (struct retry *retry, const char *target)
{
  unsigned parts = target_budget (retry, target);

  retry->budget = MIN (retry->budget + retry->percent, retry->budget_max);
  if (parts < retry->target_budget_max)
    set_target_budget (retry, target, parts + retry->percent);
}

bool
retry_withdraw (struct retry *retry, const char *target)
{
  unsigned parts = target_budget (retry, target);

  if (retry->budget < PARTS_PER_RETRY || parts < PARTS_PER_RETRY)
    return false;
  retry->budget -= PARTS_PER_RETRY;
  set_target_budget (retry, target, parts - PARTS_PER_RETRY);
  return true;
}

struct timespec
retry_delay (unsigned n, bool not_run, GRand *rand)
{
  int64_t ceiling = RETRY_BASE_MS;

  if (not_run)
    return ts_from_ms (0);
  for (unsigned i = 2; i < n && ceiling < RETRY_MAX_MS; i++)
    ceiling *= 2;
  ceiling = MIN (ceiling, RETRY_MAX_MS);
  return ts_from_s (g_rand_double (rand) * (double)ceiling
                    / (double)TS_MS_PER_S);
}
