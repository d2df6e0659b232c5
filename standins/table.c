#include "table.h"

#include <stdbool.h>
#include <string.h>
#include <glib.h>

#define MAX_STORED_RESPONSES 100000u /* the oldest is evicted */

struct row
{
  char *key;
  json_t *value;
  char *token;
  json_int_t version;
};

struct response
{
  unsigned status;
  json_t *json;
};

struct table
{
  GTree *rows;
  GHashTable *responses; /* token -> struct response */
  GQueue *tokens;        /* oldest first; keys owned by RESPONSES */
};

static void
row_free (gpointer data)
{
  struct row *row = data;

  json_decref (row->value);
  g_free (row->key);
  g_free (row->token);
  g_free (row);
}

static void
response_free (gpointer data)
{
  struct response *response = data;

  json_decref (response->json);
  g_free (response);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

struct table *
table_new (void)
{
  struct table *table = g_new0 (struct table, 1);

  table->rows = g_tree_new_full (compare_keys, NULL, NULL, row_free);
  table->responses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, response_free);
  table->tokens = g_queue_new ();
  return table;
}

void
table_free (struct table *table)
{
  g_tree_unref (table->rows);
  g_queue_free (table->tokens);
  g_hash_table_unref (table->responses);
  g_free (table);
}

static json_t *
row_json (const struct row *row)
{
  return json_pack ("{s:s,s:I,s:O,s:s}", "key", row->key, "version",
                    row->version, "value", row->value, "token", row->token);
}

static json_t *
missing_row_json (const char *key)
{
  return json_pack ("{s:s,s:i,s:n,s:s}", "key", key, "version", 0, "value",
                    "token", "");
}

static const char *
key_of (const json_t *item)
{
  return json_string_value (json_object_get (item, "key"));
}

static bool
well_formed (const json_t *body)
{
  const json_t *checks = json_object_get (body, "checks");
  const json_t *writes = json_object_get (body, "writes");
  size_t i;
  json_t *item;

  if (!json_is_string (json_object_get (body, "token"))
      || !json_is_array (checks) || !json_is_array (writes))
    return false;
  json_array_foreach (checks, i, item)
    {
      if (key_of (item) == NULL
          || !json_is_integer (json_object_get (item, "version")))
        return false;
    }
  json_array_foreach (writes, i, item)
    {
      if (key_of (item) == NULL || json_object_get (item, "value") == NULL)
        return false;
    }
  return true;
}

/* Appends the current row to FAILED when its version is not the one that
   CHECK expects; version 0 stands for a missing row.  */
static void
append_if_mismatch (struct table *table, const json_t *check, json_t *failed)
{
  const char *key = key_of (check);
  const struct row *row = g_tree_lookup (table->rows, key);
  json_int_t version = json_integer_value (json_object_get (check, "version"));

  if (version == (row != NULL ? row->version : 0))
    return;
  json_array_append_new (failed, row != NULL ? row_json (row)
                                             : missing_row_json (key));
}

static void
put_row (struct table *table, const json_t *write, const char *token)
{
  const char *key = key_of (write);
  json_t *value = json_object_get (write, "value");
  struct row *row = g_tree_lookup (table->rows, key);

  if (json_is_null (value))
    {
      g_tree_remove (table->rows, key);
      return;
    }
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->key = g_strdup (key);
      g_tree_insert (table->rows, row->key, row);
    }
  json_decref (row->value);
  row->value = json_incref (value);
  g_free (row->token);
  row->token = g_strdup (token);
  row->version++;
}

static void
store_response (struct table *table, const char *token, unsigned status,
                json_t *json)
{
  struct response *response = g_new (struct response, 1);
  char *key = g_strdup (token);

  response->status = status;
  response->json = json_incref (json);
  g_hash_table_insert (table->responses, key, response);
  g_queue_push_tail (table->tokens, key);
  if (g_queue_get_length (table->tokens) > MAX_STORED_RESPONSES)
    g_hash_table_remove (table->responses, g_queue_pop_head (table->tokens));
}

static unsigned
execute_txn (struct table *table, const json_t *body, const char *token,
             json_t **response)
{
  json_t *failed = json_array ();
  size_t i;
  json_t *item;

  json_array_foreach (json_object_get (body, "checks"), i, item)
    {
      append_if_mismatch (table, item, failed);
    }
  if (json_array_size (failed) > 0)
    {
      *response = json_pack ("{s:b,s:o}", "committed", 0, "rows", failed);
      return 409;
    }
  json_decref (failed);
  json_array_foreach (json_object_get (body, "writes"), i, item)
    {
      put_row (table, item, token);
    }
  *response = json_pack ("{s:b}", "committed", 1);
  return 200;
}

unsigned
table_txn (struct table *table, const json_t *body, json_t **response)
{
  const char *token;
  const struct response *previous;
  unsigned status;

  if (!well_formed (body))
    {
      *response = json_pack ("{s:s}", "error", "malformed transaction");
      return 400;
    }
  token = json_string_value (json_object_get (body, "token"));
  previous = g_hash_table_lookup (table->responses, token);
  if (previous != NULL)
    {
      *response = json_incref (previous->json);
      return previous->status;
    }
  status = execute_txn (table, body, token, response);
  store_response (table, token, status, *response);
  return status;
}

json_t *
table_scan (const struct table *table, const char *prefix, size_t limit)
{
  json_t *rows = json_array ();
  GTreeNode *node = g_tree_lower_bound (table->rows, prefix);

  for (; node != NULL; node = g_tree_node_next (node))
    {
      if (!g_str_has_prefix (g_tree_node_key (node), prefix)
          || json_array_size (rows) >= limit)
        break;
      json_array_append_new (rows, row_json (g_tree_node_value (node)));
    }
  return json_pack ("{s:o}", "rows", rows);
}
