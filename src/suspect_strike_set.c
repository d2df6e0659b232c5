#include "suspect_strike_set.h"

#include <glib.h>
#include "ts.h"

struct known
{
  uint64_t fingerprint;
  unsigned count;
  uint64_t engines[SUSPECT_STRIKES_MAX];
  struct timespec at[SUSPECT_STRIKES_MAX];
  struct timespec cleared_at;
};

struct suspect_strike_set
{
  struct suspect_table *board;
  GHashTable *table; /* fingerprint -> struct known */
};

struct suspect_strike_set *
suspect_strike_set_new (struct suspect_table *board)
{
  struct suspect_strike_set *set = g_new0 (struct suspect_strike_set, 1);

  set->board = board;
  set->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return set;
}

void
suspect_strike_set_free (struct suspect_strike_set *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->table);
  g_free (set);
}

/* Drops what CLEARED_AT or age has ended.  */
static void
fade (struct known *known, struct timespec now)
{
  int64_t keep_ms = known->count >= SUSPECT_REFUSE_STRIKES
                        ? SUSPECT_REFUSE_TTL_MS
                        : SUSPECT_ONE_STRIKE_TTL_MS;
  unsigned n = 0;

  for (unsigned i = 0; i < known->count; i++)
    {
      if (!ts_before (known->cleared_at, known->at[i])
          || !ts_before (now, ts_add_ms (known->at[i], keep_ms)))
        continue;
      known->engines[n] = known->engines[i];
      known->at[n++] = known->at[i];
    }
  known->count = n;
}

static void
show (struct suspect_strike_set *set, const struct known *known)
{
  suspect_table_set (set->board, known->fingerprint, known->count,
                     known->count > 0 ? known->engines[known->count - 1] : 0);
}

unsigned
suspect_strike_set_count (struct suspect_strike_set *set, uint64_t fingerprint,
                          struct timespec now)
{
  struct known *known = g_hash_table_lookup (set->table, &fingerprint);

  if (known == NULL)
    return 0;
  fade (known, now);
  return known->count;
}

static bool
worth_less (const struct known *a, const struct known *b)
{
  if (a->count != b->count)
    return a->count < b->count;
  return a->count > 0 && ts_before (a->at[a->count - 1], b->at[b->count - 1]);
}

/* Makes room: the fewest strikes go first, then the oldest.  */
static void
forget_one (struct suspect_strike_set *set)
{
  GHashTableIter iter;
  gpointer value;
  struct known *least = NULL;

  g_hash_table_iter_init (&iter, set->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (least == NULL || worth_less (value, least))
      least = value;
  if (least == NULL)
    return;
  suspect_table_set (set->board, least->fingerprint, 0, 0);
  g_hash_table_remove (set->table, &least->fingerprint);
}

static struct known *
known_get (struct suspect_strike_set *set, uint64_t fingerprint)
{
  struct known *known = g_hash_table_lookup (set->table, &fingerprint);

  if (known != NULL)
    return known;
  if (g_hash_table_size (set->table) >= SUSPECT_FINGERPRINTS_MAX)
    forget_one (set);
  known = g_new0 (struct known, 1);
  known->fingerprint = fingerprint;
  known->cleared_at = ts_from_ns (INT64_MIN / 2);
  g_hash_table_insert (set->table, &known->fingerprint, known);
  return known;
}

static bool
same_crash (const struct known *known, unsigned i, uint64_t engine,
            struct timespec at)
{
  int64_t apart = ts_to_ms (ts_sub (known->at[i], at));

  return known->engines[i] == engine && ABS (apart) < SUSPECT_SAME_CRASH_MS;
}

/* False when it was known.  */
static bool
add_strike (struct known *known, uint64_t engine, struct timespec at)
{
  for (unsigned i = 0; i < known->count; i++)
    if (same_crash (known, i, engine, at))
      return false;
  if (known->count == SUSPECT_STRIKES_MAX)
    return false;
  known->engines[known->count] = engine;
  known->at[known->count++] = at;
  return true;
}

void
suspect_strike_set_add (struct suspect_strike_set *set,
                        const struct suspect_strike *strike,
                        struct timespec now)
{
  struct known *known = known_get (set, strike->fingerprint);
  struct timespec at = ts_add_ms (now, -strike->age_ms);

  if (strike->cleared)
    known->cleared_at = ts_max (known->cleared_at, at);
  else
    add_strike (known, strike->engine, at);
  fade (known, now);
  show (set, known);
}

void
suspect_strike_set_expire (struct suspect_strike_set *set, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, set->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct known *known = value;

      fade (known, now);
      show (set, known);
      if (known->count == 0
          && ts_before (
              ts_add_ms (known->cleared_at, SUSPECT_ONE_STRIKE_TTL_MS), now))
        g_hash_table_iter_remove (&iter);
    }
}

void
suspect_strike_set_each (
    const struct suspect_strike_set *set, struct timespec now,
    void (*each) (void *user, const struct suspect_strike *strike), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, set->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct known *known = value;

      for (unsigned i = 0; i < known->count; i++)
        {
          struct suspect_strike strike
              = { .fingerprint = known->fingerprint,
                  .engine = known->engines[i],
                  .age_ms = ts_to_ms (ts_sub (now, known->at[i])) };

          each (user, &strike);
        }
    }
}
