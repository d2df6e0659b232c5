#include "returns.h"

#include <glib.h>
#include <sys/param.h>
#include "ts.h"

/* Targets whose times have passed are forgotten beyond this number.  */
#define TARGETS_MAX 1024

struct returns
{
  GHashTable *last; /* target -> struct timespec, the last time told */
};

struct returns *
returns_new (void)
{
  struct returns *returns = g_new0 (struct returns, 1);

  returns->last
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return returns;
}

void
returns_free (struct returns *returns)
{
  if (returns == NULL)
    return;
  g_hash_table_unref (returns->last);
  g_free (returns);
}

static gboolean
has_passed (gpointer target, gpointer value, gpointer user)
{
  const struct timespec *last = value;
  const struct timespec *now = user;

  (void)target;
  return ts_before (*last, *now);
}

double
returns_next_s (struct returns *returns, const char *target, double least_s,
                double work_s, struct timespec now)
{
  const struct timespec *last = g_hash_table_lookup (returns->last, target);
  struct timespec *told;
  double next_s = MAX (least_s, 0);

  if (last != NULL)
    next_s = MAX (next_s, ts_to_s (ts_sub (*last, now)) + work_s);
  next_s = MIN (next_s, RETURNS_MAX_S);
  if (g_hash_table_size (returns->last) >= TARGETS_MAX)
    g_hash_table_foreach_remove (returns->last, has_passed, &now);
  told = g_new (struct timespec, 1);
  *told = ts_add (now, ts_from_s (next_s));
  g_hash_table_replace (returns->last, g_strdup (target), told);
  return next_s;
}
