/* The platform's store, as far as gates use it: tables, transactions under
   conditions, ranges, feeds.  It is sound: nothing is lost, delayed or
   refused.  */

#include <jansson.h>
#include "stand.h"

#define ROWS_MAX 4096
#define TX_MS 5

struct row
{
  char *table;
  char *key;
  char *value; /* base64; NULL: dropped */
  json_int_t version;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct row rows[ROWS_MAX]; /* sorted by table and key */
static size_t row_count;
static json_int_t last_version;

static int
compare (const struct row *row, const char *table, const char *key)
{
  int order = strcmp (row->table, table);

  return order != 0 ? order : strcmp (row->key, key);
}

static struct row *
find_row (const char *table, const char *key, bool add)
{
  size_t i;

  for (i = 0; i < row_count && compare (&rows[i], table, key) < 0; i++)
    ;
  if (i < row_count && compare (&rows[i], table, key) == 0)
    return &rows[i];
  if (!add || row_count == ROWS_MAX)
    return NULL;
  memmove (&rows[i + 1], &rows[i], (row_count - i) * sizeof rows[0]);
  row_count++;
  rows[i] = (struct row){ .table = strdup (table), .key = strdup (key) };
  return &rows[i];
}

static json_t *
row_json (const struct row *row)
{
  json_t *json = json_pack ("{s:s, s:s, s:s, s:I}", "Table", row->table,
                            "part", "", "Key", row->key, "Ver", row->version);

  if (row->value != NULL)
    json_object_set_new (json, "Value", json_string (row->value));
  else
    json_object_set_new (json, "Tombstone", json_true ());
  return json;
}

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static bool
respond (int fd, int status, json_t *json)
{
  char head[256];
  char *text;
  bool ok;

  json_object_set_new (json, "NowMs", json_integer (now_ms ()));
  text = json_dumps (json, JSON_COMPACT);
  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
            status, status == 200 ? "OK" : "Failed", strlen (text));
  ok = send_all (fd, head, strlen (head))
       && send_all (fd, text, strlen (text));
  free (text);
  json_decref (json);
  return ok;
}

static bool
transact (int fd, const struct message *message)
{
  json_t *body = json_loadb (message->bytes + message->head,
                             message->end - message->head, 0, NULL);
  json_t *found = json_array ();
  bool holds = true;
  const json_t *item;
  size_t i;
  json_int_t version;

  sleep_ms (TX_MS);
  pthread_mutex_lock (&lock);
  json_array_foreach (json_object_get (body, "Expected"), i, item)
    {
      const struct row *row
          = find_row (text_of (item, "Table"), text_of (item, "Key"), false);
      bool exists = row != NULL && row->value != NULL;

      if (exists)
        json_array_append_new (found, row_json (row));
      holds = holds
              && json_integer_value (json_object_get (item, "Ver"))
                     == (exists ? row->version : 0);
    }
  if (holds)
    {
      last_version++;
      json_array_foreach (json_object_get (body, "SetKeys"), i, item)
        {
          struct row *row = find_row (text_of (item, "Table"),
                                      text_of (item, "Key"), true);

          if (row == NULL)
            exit (2);
          free (row->value);
          row->value = strdup (text_of (item, "Value"));
          row->version = last_version;
        }
      json_array_foreach (json_object_get (body, "Remove"), i, item)
        {
          struct row *row = find_row (text_of (item, "Table"),
                                      text_of (item, "Key"), false);

          if (row == NULL || row->value == NULL)
            continue;
          free (row->value);
          row->value = NULL;
          row->version = last_version;
        }
      pthread_cond_broadcast (&changed);
    }
  version = last_version;
  pthread_mutex_unlock (&lock);
  json_decref (body);
  if (holds)
    {
      json_decref (found);
      return respond (fd, 200, json_pack ("{s:I}", "Ver", version));
    }
  return respond (fd, 412,
                  json_pack ("{s:I, s:o}", "Ver", version, "Rows", found));
}

static bool
read_range (int fd, const struct message *message)
{
  char table[256];
  char from[256];
  char to[256];
  char limit_text[32];
  size_t limit = 500;
  json_t *list = json_array ();
  bool more = false;
  json_int_t version;

  get_query (message, "Table", table, sizeof table);
  get_query (message, "From", from, sizeof from);
  get_query (message, "To", to, sizeof to);
  if (get_query (message, "Limit", limit_text, sizeof limit_text)
      && strtoul (limit_text, NULL, 10) < limit)
    limit = strtoul (limit_text, NULL, 10);
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < row_count && !more; i++)
    {
      if (strcmp (rows[i].table, table) != 0 || rows[i].value == NULL
          || strcmp (rows[i].key, from) < 0
          || (*to != '\0' && strcmp (rows[i].key, to) >= 0))
        continue;
      more = json_array_size (list) == limit;
      if (!more)
        json_array_append_new (list, row_json (&rows[i]));
    }
  version = last_version;
  pthread_mutex_unlock (&lock);
  return respond (fd, 200,
                  json_pack ("{s:o, s:b, s:I}", "Rows", list, "HasMore", more,
                             "Ver", version));
}

static int
by_version (const void *a, const void *b)
{
  json_int_t x = (*(const struct row *const *)a)->version;
  json_int_t y = (*(const struct row *const *)b)->version;

  return (x > y) - (x < y);
}

static bool
read_feed (int fd, const struct message *message)
{
  char table[256];
  char after_text[32];
  char wait_text[32];
  json_t *list = json_array ();
  json_int_t after;
  json_int_t version;
  struct timespec until;
  int waited = 0;

  get_query (message, "Table", table, sizeof table);
  get_query (message, "after", after_text, sizeof after_text);
  get_query (message, "WaitMs", wait_text, sizeof wait_text);
  after = strtoll (after_text, NULL, 10);
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += atoi (wait_text) / 1000;
  until.tv_nsec += atoi (wait_text) % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  pthread_mutex_lock (&lock);
  if (after > last_version)
    {
      pthread_mutex_unlock (&lock);
      json_decref (list);
      return respond (fd, 410, json_object ());
    }
  for (;;)
    {
      const struct row *found[ROWS_MAX];
      size_t n = 0;

      for (size_t i = 0; i < row_count; i++)
        if (strcmp (rows[i].table, table) == 0 && rows[i].version > after)
          found[n++] = &rows[i];
      qsort (found, n, sizeof found[0], by_version);
      for (size_t i = 0; i < n; i++)
        json_array_append_new (list, row_json (found[i]));
      if (n > 0 || waited != 0)
        break;
      waited = pthread_cond_timedwait (&changed, &lock, &until);
    }
  version = last_version;
  pthread_mutex_unlock (&lock);
  return respond (fd, 200,
                  json_pack ("{s:o, s:I}", "Rows", list, "Ver", version));
}

static void *
handle (void *user)
{
  int fd = (int)(intptr_t)user;
  struct message message = { 0 };
  bool keep = true;

  while (keep && read_request (fd, &message))
    {
      char connection[32];

      if (strstr (message.bytes, " /v1/rows-tx") != NULL)
        keep = transact (fd, &message);
      else if (strstr (message.bytes, " /v1/rows-feed?") != NULL)
        keep = read_feed (fd, &message);
      else if (strstr (message.bytes, " /v1/rows-get?") != NULL)
        keep = read_range (fd, &message);
      else
        keep = respond (fd, 404, json_object ());
      get_header (&message, "Connection", connection, sizeof connection);
      keep = keep && strcasecmp (connection, "close") != 0;
    }
  close (fd);
  free (message.bytes);
  return NULL;
}

/* Arguments: address, port.  */
int
store_main (int argc, char **argv)
{
  pthread_condattr_t attr;

  (void)argc;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attr);
  serve (listen_on (argv[0], atoi (argv[1])), handle);
  return 0;
}
