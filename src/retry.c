#include "retry.h"

#include <limits.h>
#include "ts.h"

#define TOKEN 100                /* parts of one retry */
#define UNLIMITED (UINT_MAX / 2) /* parts */

struct retry
{
  unsigned percent;
  unsigned budget;      /* parts */
  unsigned most;        /* parts */
  unsigned target_most; /* parts */
  GHashTable *targets;  /* name -> parts */
};

struct retry *
retry_new (unsigned threads)
{
  struct retry_options options
      = { .percent = RETRY_PERCENT, .burst = RETRY_TARGET_BURST };
  struct retry *retry = retry_new_per_target (&options);

  retry->most = RETRY_BURST * TOKEN / MAX (threads, 1);
  retry->budget = retry->most;
  return retry;
}

struct retry *
retry_new_per_target (const struct retry_options *options)
{
  struct retry *retry = g_new0 (struct retry, 1);

  retry->most = UNLIMITED;
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
  retry->target_most = options->burst * TOKEN;
  g_hash_table_iter_init (&iter, retry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &parts))
    if (GPOINTER_TO_UINT (parts) > retry->target_most)
      g_hash_table_iter_replace (&iter, GUINT_TO_POINTER (retry->target_most));
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
  return retry->target_most;
}

/* A full budget is the same as none kept, which bounds the table.  */
static void
set_target_budget (struct retry *retry, const char *target, unsigned parts)
{
  if (parts >= retry->target_most)
    g_hash_table_remove (retry->targets, target);
  else
    g_hash_table_replace (retry->targets, g_strdup (target),
                          GUINT_TO_POINTER (parts));
}

void
retry_deposit (struct retry *retry, const char *target)
{
  unsigned parts = target_budget (retry, target);

  retry->budget = MIN (retry->budget + retry->percent, retry->most);
  if (parts < retry->target_most)
    set_target_budget (retry, target, parts + retry->percent);
}

bool
retry_withdraw (struct retry *retry, const char *target)
{
  unsigned parts = target_budget (retry, target);

  if (retry->budget < TOKEN || parts < TOKEN)
    return false;
  retry->budget -= TOKEN;
  set_target_budget (retry, target, parts - TOKEN);
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
