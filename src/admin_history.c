#include "admin_history.h"

#include <string.h>
#include <glib.h>
#include "confsync.h"

#define ROWS_MAX 10000

struct request
{
  void (*done) (void *user, unsigned status, json_t *body);
  void *user;
};

static json_t *
describe_change (const struct platform_row *row)
{
  const char *digits = row->key + strlen (CONFSYNC_HISTORY);
  json_t *change = json_loads (row->value, JSON_DECODE_ANY, NULL);

  return json_pack ("{s:I, s:o}", "version",
                    (json_int_t)g_ascii_strtoull (digits, NULL, 10), "change",
                    change != NULL ? change : json_null ());
}

static void
on_rows (void *user, enum platform_status status,
         const struct platform_rows *rows)
{
  struct request *request = user;
  json_t *list = json_array ();

  for (size_t i = 0; status == PLATFORM_OK && i < rows->count; i++)
    json_array_append_new (list, describe_change (&rows->rows[i]));
  if (status == PLATFORM_OK)
    request->done (request->user, 200, json_pack ("{s:o}", "history", list));
  else
    {
      json_decref (list);
      request->done (request->user, 503,
                     json_pack ("{s:{s:s, s:s, s:b}}", "error", "type",
                                "table_away", "message",
                                "the table cannot be read", "not_run", 1));
    }
  g_free (request);
}

void
admin_history (struct platform *platform,
               void (*done) (void *user, unsigned status, json_t *body),
               void *user)
{
  struct request *request = g_new (struct request, 1);

  request->done = done;
  request->user = user;
  platform->ops->scan (platform, CONFSYNC_HISTORY, ROWS_MAX,
                       (struct platform_rows_cb){ on_rows, request });
}
