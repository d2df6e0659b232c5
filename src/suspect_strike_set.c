#include "suspect_strike_set.h"

#include <glib.h>
#include "ts.h"

struct known_fingerprint
{
  uint64_t fingerprint;
  unsigned count;
  uint64_t engines[SUSPECT_STRIKES_MAX];
  struct timespec at[SUSPECT_STRIKES_MAX];
  struct timespec cleared_at;
};

struct suspect_strike_set
{
  struct suspect_table *table;
  GHashTable *entries; /* fingerprint -> struct known_fingerprint */
};

struct suspect_strike_set *
suspect_strike_set_new (struct suspect_table *table)
{
  struct suspect_strike_set *set = g_new0 (struct suspect_strike_set, 1);

  set->table = table;
  set->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return set;
}

void
suspect_strike_set_free (struct suspect_strike_set *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->entries);
  g_free (set);
}

/* Removes the strikes that are expired or older than CLEARED_AT.  */
static void
expire (struct known_fingerprint *known, struct timespec now)
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
publish (struct suspect_strike_set *set, const struct known_fingerprint *known)
{
  suspect_table_set (set->table, known->fingerprint, known->count,
                     known->count > 0 ? known->engines[known->count - 1] : 0);
}

unsigned
suspect_strike_set_count (struct suspect_strike_set *set, uint64_t fingerprint,
                          struct timespec now)
{
  struct known_fingerprint *known
      = g_hash_table_lookup (set->entries, &fingerprint);

  if (known == NULL)
    return 0;
  expire (known, now);
  return known->count;
}

static bool
is_evicted_before (const struct known_fingerprint *a,
                   const struct known_fingerprint *b)
{
  if (a->count != b->count)
    return a->count < b->count;
  return a->count > 0 && ts_before (a->at[a->count - 1], b->at[b->count - 1]);
}

/* Evicts the fingerprint with the fewest strikes, the oldest of those.  */
static void
evict_one (struct suspect_strike_set *set)
{
  GHashTableIter iter;
  gpointer value;
  struct known_fingerprint *least = NULL;

  g_hash_table_iter_init (&iter, set->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (least == NULL || is_evicted_before (value, least))
      least = value;
  if (least == NULL)
    return;
  suspect_table_set (set->table, least->fingerprint, 0, 0);
  g_hash_table_remove (set->entries, &least->fingerprint);
}

static struct known_fingerprint *
get_known (struct suspect_strike_set *set, uint64_t fingerprint)
{
  struct known_fingerprint *known
      = g_hash_table_lookup (set->entries, &fingerprint);

  if (known != NULL)
    return known;
  if (g_hash_table_size (set->entries) >= SUSPECT_FINGERPRINTS_MAX)
    evict_one (set);
  known = g_new0 (struct known_fingerprint, 1);
  known->fingerprint = fingerprint;
  known->cleared_at = ts_from_ns (INT64_MIN / 2);
  g_hash_table_insert (set->entries, &known->fingerprint, known);
  return known;
}

static bool
same_crash (const struct known_fingerprint *known, unsigned i, uint64_t engine,
            struct timespec at)
{
  int64_t apart_ms = ts_to_ms (ts_sub (known->at[i], at));

  return known->engines[i] == engine && ABS (apart_ms) < SUSPECT_SAME_CRASH_MS;
}

/* False if the strike is already known or there is no room for it.  */
static bool
add_strike (struct known_fingerprint *known, uint64_t engine,
            struct timespec at)
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
  struct known_fingerprint *known = get_known (set, strike->fingerprint);
  struct timespec at = ts_add_ms (now, -strike->age_ms);

  if (strike->cleared)
    known->cleared_at = ts_max (known->cleared_at, at);
  else
    add_strike (known, strike->engine, at);
  expire (known, now);
  publish (set, known);
}

void
suspect_strike_set_expire (struct suspect_strike_set *set, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, set->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct known_fingerprint *known = value;

      expire (known, now);
      publish (set, known);
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

  g_hash_table_iter_init (&iter, set->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct known_fingerprint *known = value;

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
