#include "holders.h"

struct holders
{
  GHashTable *by_target; /* target to GHashTable: engine to struct holder */
  GHashTable *by_engine; /* engine to GHashTable: set of targets */
};

static void
unref_table (gpointer table)
{
  g_hash_table_unref (table);
}

static GHashTable *
table_of_tables (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_table);
}

struct holders *
holders_new (void)
{
  struct holders *holders = g_new0 (struct holders, 1);

  holders->by_target = table_of_tables ();
  holders->by_engine = table_of_tables ();
  return holders;
}

void
holders_free (struct holders *holders)
{
  if (holders == NULL)
    return;
  g_hash_table_unref (holders->by_target);
  g_hash_table_unref (holders->by_engine);
  g_free (holders);
}

void
holders_clear (struct holders *holders)
{
  g_hash_table_remove_all (holders->by_target);
  g_hash_table_remove_all (holders->by_engine);
}

/* The inner table of KEY, created with VALUE_FREE if it is missing.  */
static GHashTable *
inner_table (GHashTable *tables, const char *key, GDestroyNotify value_free)
{
  GHashTable *inner = g_hash_table_lookup (tables, key);

  if (inner != NULL)
    return inner;
  inner = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, value_free);
  g_hash_table_insert (tables, g_strdup (key), inner);
  return inner;
}

void
holders_put (struct holders *holders, const char *engine, const char *target,
             const struct holder *holder)
{
  GHashTable *engines = inner_table (holders->by_target, target, g_free);
  struct holder *entry = g_hash_table_lookup (engines, engine);

  if (entry == NULL)
    {
      entry = g_new (struct holder, 1);
      g_hash_table_insert (engines, g_strdup (engine), entry);
      g_hash_table_add (inner_table (holders->by_engine, engine, NULL),
                        g_strdup (target));
    }
  *entry = *holder;
}

/* Removes ENTRY from the inner table of KEY, and the table once it is
   empty.  */
static void
remove_inner (GHashTable *tables, const char *key, const char *entry)
{
  GHashTable *inner = g_hash_table_lookup (tables, key);

  if (inner == NULL)
    return;
  g_hash_table_remove (inner, entry);
  if (g_hash_table_size (inner) == 0)
    g_hash_table_remove (tables, key);
}

void
holders_remove (struct holders *holders, const char *engine,
                const char *target)
{
  remove_inner (holders->by_target, target, engine);
  remove_inner (holders->by_engine, engine, target);
}

void
holders_remove_engine (struct holders *holders, const char *engine)
{
  GHashTable *targets = g_hash_table_lookup (holders->by_engine, engine);
  GHashTableIter iter;
  const char *target;

  if (targets == NULL)
    return;
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, (gpointer *)&target, NULL))
    remove_inner (holders->by_target, target, engine);
  g_hash_table_remove (holders->by_engine, engine);
}

bool
holders_has_engine (const struct holders *holders, const char *engine)
{
  return g_hash_table_contains (holders->by_engine, engine);
}

GHashTable *
holders_of (const struct holders *holders, const char *target)
{
  return g_hash_table_lookup (holders->by_target, target);
}
