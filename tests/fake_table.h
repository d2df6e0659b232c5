/* fake_table - an in-memory implementation of the platform's table for tests.

   Writes take effect immediately.  Tests that need delayed or lost writes
   keep copies of transactions and apply them later.  With fake_table_restore
   the table goes back to a copy, and versions are used again.  */

#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "platform.h"

struct fake_table
{
  GTree *rows;        /* key -> struct platform_row */
  GHashTable *tokens; /* tokens of committed transactions */
  unsigned reads;
  unsigned writes;
  bool forgets_tokens; /* a repeated transaction is checked like any other */
  uint64_t era;        /* rises with each restore */
  GPtrArray *copies;   /* struct platform_rows: the rows before each committed
                          transaction; NULL: not kept */
};

static inline void
fake_row_clear (struct platform_row *row)
{
  g_free (row->key);
  g_free (row->value);
  g_free (row->token);
}

static inline void
fake_row_free (void *row)
{
  fake_row_clear ((struct platform_row *)row);
  g_free (row);
}

static inline int
fake_compare (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp ((const char *)a, (const char *)b);
}

static inline void
fake_table_init (struct fake_table *table)
{
  memset (table, 0, sizeof *table);
  table->rows = g_tree_new_full (fake_compare, NULL, NULL, fake_row_free);
  table->tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static inline void
fake_table_clear (struct fake_table *table)
{
  g_tree_destroy (table->rows);
  g_hash_table_unref (table->tokens);
  if (table->copies != NULL)
    g_ptr_array_unref (table->copies);
}

static inline void
fake_table_put (struct fake_table *table, const struct platform_row *from)
{
  struct platform_row *row = g_new0 (struct platform_row, 1);

  row->key = g_strdup (from->key);
  row->value = g_strdup (from->value);
  row->token = g_strdup (from->token);
  row->version = from->version;
  g_tree_replace (table->rows, row->key, row);
}

static inline struct platform_row *
fake_table_row (const struct fake_table *table, const char *key)
{
  return (struct platform_row *)g_tree_lookup (table->rows, key);
}

static inline void
fake_rows_add (struct platform_rows *rows, const struct platform_row *row)
{
  struct platform_row *to;

  rows->rows = g_renew (struct platform_row, rows->rows, rows->count + 1);
  to = &rows->rows[rows->count++];
  to->key = g_strdup (row->key);
  to->version = row->version;
  to->value = g_strdup (row->value);
  to->token = g_strdup (row->token);
}

static inline void
fake_rows_clear (struct platform_rows *rows)
{
  for (size_t i = 0; i < rows->count; i++)
    fake_row_clear (&rows->rows[i]);
  g_free (rows->rows);
  rows->rows = NULL;
  rows->count = 0;
}

static inline void
fake_table_write (struct fake_table *table, const char *token,
                  const struct platform_write *write)
{
  struct platform_row *old = fake_table_row (table, write->key);
  struct platform_row *row;

  if (write->value == NULL)
    {
      g_tree_remove (table->rows, write->key);
      return;
    }
  row = g_new0 (struct platform_row, 1);
  row->key = g_strdup (write->key);
  row->value = g_strdup (write->value);
  row->token = g_strdup (token);
  row->version = (old != NULL ? old->version : 0) + 1;
  g_tree_replace (table->rows, row->key, row);
}

static inline void
fake_copy_free (void *copy)
{
  fake_rows_clear ((struct platform_rows *)copy);
  g_free (copy);
}

/* Keeps copies from now on, for fake_table_restore.  */
static inline void
fake_table_keep_copies (struct fake_table *table)
{
  table->era = 1;
  table->forgets_tokens = true;
  table->copies = g_ptr_array_new_with_free_func (fake_copy_free);
}

static inline gboolean
fake_copy_row (void *key, void *value, void *data)
{
  (void)key;
  fake_rows_add ((struct platform_rows *)data,
                 (const struct platform_row *)value);
  return FALSE;
}

static inline void
fake_table_copy (struct fake_table *table)
{
  struct platform_rows *copy;

  if (table->copies == NULL)
    return;
  copy = g_new0 (struct platform_rows, 1);
  g_tree_foreach (table->rows, fake_copy_row, copy);
  g_ptr_array_add (table->copies, copy);
}

/* Restores the table from the copy that is WRITES committed transactions
   old.  */
static inline void
fake_table_restore (struct fake_table *table, unsigned writes)
{
  unsigned n = MIN (writes, table->copies->len);
  const struct platform_rows *copy;

  table->era++;
  if (n == 0)
    return;
  copy = (const struct platform_rows *)g_ptr_array_index (
      table->copies, table->copies->len - n);
  g_tree_destroy (table->rows);
  table->rows = g_tree_new_full (fake_compare, NULL, NULL, fake_row_free);
  for (size_t i = 0; i < copy->count; i++)
    fake_table_put (table, &copy->rows[i]);
  g_ptr_array_set_size (table->copies, (gint)(table->copies->len - n));
}

/* CONFLICTS may be NULL.  */
static inline enum platform_status
fake_table_txn (struct fake_table *table, const struct platform_txn *txn,
                struct platform_rows *conflicts)
{
  enum platform_status status = PLATFORM_OK;

  table->writes++;
  if (!table->forgets_tokens
      && g_hash_table_contains (table->tokens, txn->token))
    return PLATFORM_OK;
  for (size_t i = 0; i < txn->check_count; i++)
    {
      const struct platform_check *check = &txn->checks[i];
      struct platform_row none = { (char *)check->key, 0, NULL, NULL };
      const struct platform_row *row = fake_table_row (table, check->key);

      if ((row != NULL ? row->version : 0) == check->version)
        continue;
      status = PLATFORM_CONFLICT;
      if (conflicts != NULL)
        fake_rows_add (conflicts, row != NULL ? row : &none);
    }
  if (status != PLATFORM_OK)
    return status;
  fake_table_copy (table);
  for (size_t i = 0; i < txn->write_count; i++)
    fake_table_write (table, txn->token, &txn->writes[i]);
  g_hash_table_add (table->tokens, g_strdup (txn->token));
  return PLATFORM_OK;
}

struct fake_scan
{
  const char *prefix;
  size_t limit;
  struct platform_rows *rows;
};

static inline gboolean
fake_scan_row (void *key, void *value, void *data)
{
  struct fake_scan *scan = (struct fake_scan *)data;

  if (scan->rows->count >= scan->limit)
    return TRUE;
  if (g_str_has_prefix ((const char *)key, scan->prefix))
    fake_rows_add (scan->rows, (const struct platform_row *)value);
  return FALSE;
}

static inline void
fake_table_scan (struct fake_table *table, const char *prefix, size_t limit,
                 struct platform_rows *rows)
{
  struct fake_scan scan = { prefix, limit, rows };

  table->reads++;
  g_tree_foreach (table->rows, fake_scan_row, &scan);
}

/* A copy of TXN that outlives the action that contains it.  */
static inline struct platform_txn *
fake_txn_copy (const struct platform_txn *txn)
{
  struct platform_txn *copy = g_new0 (struct platform_txn, 1);
  struct platform_check *checks
      = g_new0 (struct platform_check, txn->check_count);
  struct platform_write *writes
      = g_new0 (struct platform_write, txn->write_count);

  for (size_t i = 0; i < txn->check_count; i++)
    {
      checks[i].key = g_strdup (txn->checks[i].key);
      checks[i].version = txn->checks[i].version;
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      writes[i].key = g_strdup (txn->writes[i].key);
      writes[i].value = g_strdup (txn->writes[i].value);
    }
  copy->token = g_strdup (txn->token);
  copy->checks = checks;
  copy->check_count = txn->check_count;
  copy->writes = writes;
  copy->write_count = txn->write_count;
  return copy;
}

static inline void
fake_txn_free (struct platform_txn *txn)
{
  for (size_t i = 0; i < txn->check_count; i++)
    g_free ((char *)txn->checks[i].key);
  for (size_t i = 0; i < txn->write_count; i++)
    {
      g_free ((char *)txn->writes[i].key);
      g_free ((char *)txn->writes[i].value);
    }
  g_free ((char *)txn->token);
  g_free ((void *)txn->checks);
  g_free ((void *)txn->writes);
  g_free (txn);
}

#endif
