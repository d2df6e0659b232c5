#include "record_row.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

static const char *const state_names[]
    = { "running", "done", "unsure", "free" };

char *
record_row_key (const char *target, const char *key)
{
  char *escaped_target = g_uri_escape_string (target, NULL, FALSE);
  char *escaped_key = g_uri_escape_string (key, NULL, FALSE);
  char *name = g_strconcat (escaped_target, "/", escaped_key, NULL);
  char *row
      = g_strdup_printf (RECORD_ROW_PREFIX "%016" PRIx64 "/%s",
                         (uint64_t)XXH3_64bits (name, strlen (name)), name);

  g_free (escaped_target);
  g_free (escaped_key);
  g_free (name);
  return row;
}

static void
add_response (json_t *json, const struct record_row *row)
{
  json_object_set_new (json, "status", json_integer (row->status));
  if (row->content_type != NULL)
    json_object_set_new (json, "type", json_string (row->content_type));
  if (row->object != NULL)
    json_object_set_new (json, "object", json_string (row->object));
}

char *
record_row_text (const struct record_row *row)
{
  json_t *json = json_object ();
  char hex[17];
  char *dumped = NULL;
  char *text = NULL;
  bool ok = true;

  g_snprintf (hex, sizeof hex, "%016" PRIx64, row->fingerprint);
  json_object_set_new (json, "state", json_string (state_names[row->state]));
  json_object_set_new (json, "fingerprint", json_string (hex));
  json_object_set_new (json, "claim", json_string (row->claim));
  json_object_set_new (json, "at", json_integer (row->at_s));
  if (row->state == RECORD_ROW_DONE)
    add_response (json, row);
  if (row->state == RECORD_ROW_DONE && row->object == NULL
      && row->body != NULL)
    ok = json_object_set_new (json, "body",
                              json_stringn (row->body, row->length))
         == 0;
  if (ok)
    dumped = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  text = g_strdup (dumped);
  free (dumped);
  return text;
}

char *
record_row_node (const char *claim)
{
  char *node = g_strdup (claim);

  for (int i = 0; i < 2; i++)
    {
      char *dash = strrchr (node, '-');

      if (dash != NULL)
        *dash = '\0';
    }
  return node;
}

static int
parse_state (const char *name, enum record_row_state *state)
{
  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum record_row_state)i;
        return 0;
      }
  return -EINVAL;
}

static char *
dup_string (const json_t *json, const char *name)
{
  return g_strdup (json_string_value (json_object_get (json, name)));
}

static int
parse_members (const json_t *json, struct record_row *row)
{
  const json_t *body = json_object_get (json, "body");
  const char *hex = json_string_value (json_object_get (json, "fingerprint"));
  const char *state = json_string_value (json_object_get (json, "state"));

  if (hex == NULL || parse_state (state, &row->state) < 0)
    return -EINVAL;
  row->fingerprint = g_ascii_strtoull (hex, NULL, 16);
  row->claim = dup_string (json, "claim");
  row->at_s = json_integer_value (json_object_get (json, "at"));
  row->status
      = (unsigned)json_integer_value (json_object_get (json, "status"));
  row->content_type = dup_string (json, "type");
  row->object = dup_string (json, "object");
  row->length = json_string_length (body);
  if (body != NULL)
    row->body = g_memdup2 (json_string_value (body), row->length + 1);
  return row->claim != NULL ? 0 : -EINVAL;
}

int
record_row_parse (const char *text, struct record_row *row)
{
  json_t *json = text != NULL ? json_loads (text, JSON_ALLOW_NUL, NULL) : NULL;
  int error = -EINVAL;

  memset (row, 0, sizeof *row);
  if (json_is_object (json))
    error = parse_members (json, row);
  json_decref (json);
  if (error < 0)
    record_row_clear (row);
  return error;
}

void
record_row_clear (struct record_row *row)
{
  g_free (row->claim);
  g_free (row->content_type);
  g_free (row->body);
  g_free (row->object);
  memset (row, 0, sizeof *row);
}
