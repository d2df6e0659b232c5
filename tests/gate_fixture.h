/* gate_fixture - a gate and, simulated by the test in the gate's event loop, a
   caller, one backend server and a store.  */

#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "callers.h"
#include "clk.h"
#include "document.h"
#include "engine.h"
#include "gate.h"
#include "httpc.h"
#include "httpd.h"
#include "store.h"
#include "ts.h"

#define MANY_RETRIES 100
/* A test program may set another.  */
#ifndef GATE_DRAIN_MS
#define GATE_DRAIN_MS 5000
#endif
#define CONFIG_MS 2000
#define SERVER_HEAD_MEMORY (4u << 20)
#define HEARTBEAT_MS 1200

static const struct quota_bounds gate_quota
    = { .window_ms = 8000, .over = 0.1, .slack = 110000 };

struct row
{
  char *value; /* base64 */
  uint64_t version;
};

struct fixture
{
  struct loop *loop;
  struct httpd *store;
  struct httpd *server;
  struct httpc *caller;
  struct httpc *upstream;
  struct platform *platform;
  struct backend *backend;
  struct settings settings;
  struct gate *gate;
  GHashTable *rows; /* "TABLE/KEY" to struct row */
  uint64_t version;
  uint64_t era; /* of the store, from 1, told as one less; 0: not told */
  GPtrArray *waiting_feeds; /* struct httpd_request: waits for new rows */
  GHashTable *ports; /* clients' ports of connections to the store; value:
                        whether it is silent, see silence_connections */
  struct httpd_request *held;  /* at the server, not yet answered */
  unsigned at_server;          /* requests that reached the server */
  unsigned finished_at_server; /* requests that ended there, in any way */
  GString *last_request; /* request line and "name: value\n" of the last one */
  /* The caller's last request.  */
  struct httpc_call *call;
  bool done;
  int error;
  long status;
  GString *received;
  char *retry_after;
  const char *body; /* of the next request; NULL: none; borrowed */
  double retries;   /* limit on the fleet's retries */
  const char *id;   /* of the next request; NULL: "r1"; borrowed */
};

/* Handles a request at the backend server.  Defined by the test program.  */
static void handle_at_server (struct fixture *f,
                              struct httpd_request *request);

static void
row_free (gpointer data)
{
  struct row *row = data;

  g_free (row->value);
  g_free (row);
}

/* The store.  */

static json_t *
rows_json (struct fixture *f, const char *table, uint64_t after)
{
  json_t *rows = json_array ();
  GHashTableIter iter;
  const char *key;
  const struct row *row;

  g_hash_table_iter_init (&iter, f->rows);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, (gpointer *)&row))
    if (row->version > after && g_str_has_prefix (key, table)
        && key[strlen (table)] == '/')
      json_array_append_new (
          rows, json_pack ("{s:s, s:s, s:s*, s:I, s:b}", "Table", table, "Key",
                           key + strlen (table) + 1, "Value", row->value,
                           "Ver", (json_int_t)row->version, "Tombstone",
                           row->value == NULL));
  return rows;
}

static void
answer_json (struct fixture *f, struct httpd_request *request, unsigned status,
             json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, f->era - 1);
  const char *headers[] = { "Store-Era", era, NULL };

  httpd_respond (request, status, "application/json",
                 f->era != 0 ? headers : NULL, text, strlen (text));
  g_free (era);
  free (text);
  json_decref (json);
}

/* The version after which REQUEST reads; 0: all rows.  */
static uint64_t
read_after (struct httpd_request *request)
{
  const char *after = httpd_query (request, "after");

  return after != NULL ? strtoull (after, NULL, 10) : 0;
}

static bool
answer_rows (struct fixture *f, struct httpd_request *request, bool wait)
{
  json_t *rows
      = rows_json (f, httpd_query (request, "Table"), read_after (request));

  if (wait && json_array_size (rows) == 0)
    {
      json_decref (rows);
      return false;
    }
  answer_json (f, request, 200,
               json_pack ("{s:o, s:b, s:I}", "Rows", rows, "HasMore", 0, "Ver",
                          (json_int_t)f->version));
  return true;
}

static void
put_row (struct fixture *f, const char *key, const char *value)
{
  struct row *row = g_new0 (struct row, 1);

  row->value = value != NULL
                   ? g_base64_encode ((const guchar *)value, strlen (value))
                   : NULL;
  row->version = ++f->version;
  g_hash_table_replace (f->rows, g_strdup (key), row);
  for (guint i = f->waiting_feeds->len; i > 0; i--)
    if (answer_rows (f, g_ptr_array_index (f->waiting_feeds, i - 1), true))
      g_ptr_array_remove_index (f->waiting_feeds, i - 1);
}

/* A copy of the rows, for restore_rows.  */
static inline GHashTable *
copy_rows (struct fixture *f)
{
  GHashTable *copy
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  GHashTableIter iter;
  const struct row *row;
  const char *key;

  g_hash_table_iter_init (&iter, f->rows);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, (gpointer *)&row))
    {
      struct row *to = g_new0 (struct row, 1);

      to->value = g_strdup (row->value);
      to->version = row->version;
      g_hash_table_insert (copy, g_strdup (key), to);
    }
  return copy;
}

/* Replaces the rows by COPY, made at VERSION, which it takes.  What was
   written since is lost, and its versions are given out again.  */
static inline void
restore_rows (struct fixture *f, GHashTable *copy, uint64_t version)
{
  g_hash_table_unref (f->rows);
  f->rows = copy;
  f->version = version;
  f->era++;
}

static char *
row_name (const json_t *row)
{
  return g_strdup_printf ("%s/%s",
                          json_string_value (json_object_get (row, "Table")),
                          json_string_value (json_object_get (row, "Key")));
}

static bool
versions_match (struct fixture *f, const json_t *body)
{
  const json_t *item;
  bool ok = true;
  size_t i;

  json_array_foreach (json_object_get (body, "Expected"), i, item)
    {
      char *name = row_name (item);
      const struct row *row = g_hash_table_lookup (f->rows, name);
      uint64_t version = row != NULL && row->value != NULL ? row->version : 0;

      ok = ok
           && version
                  == (uint64_t)json_integer_value (
                      json_object_get (item, "Ver"));
      g_free (name);
    }
  return ok;
}

static void
write_rows (struct fixture *f, struct httpd_request *request)
{
  size_t length;
  const char *bytes = httpd_body (request, &length);
  json_t *body = json_loadb (bytes, length, 0, NULL);
  const json_t *item;
  size_t i;

  if (!versions_match (f, body))
    {
      json_decref (body);
      answer_json (f, request, 412, json_pack ("{s:[]}", "Rows"));
      return;
    }
  json_array_foreach (json_object_get (body, "SetKeys"), i, item)
    {
      const char *encoded
          = json_string_value (json_object_get (item, "Value"));
      gsize n;
      guchar *value = g_base64_decode (encoded, &n);
      char *text = g_strndup ((const char *)value, n);
      char *name = row_name (item);

      put_row (f, name, text);
      g_free (name);
      g_free (text);
      g_free (value);
    }
  json_array_foreach (json_object_get (body, "Remove"), i, item)
    {
      char *name = row_name (item);

      put_row (f, name, NULL);
      g_free (name);
    }
  json_decref (body);
  answer_json (f, request, 200,
               json_pack ("{s:I}", "Ver", (json_int_t)f->version));
}

/* Requests on the connections to the store that are open now get no response,
   and no connection is closed.  New connections work.  */
static inline void
silence_connections (struct fixture *f)
{
  GHashTableIter iter;
  gpointer silent;

  g_hash_table_iter_init (&iter, f->ports);
  while (g_hash_table_iter_next (&iter, NULL, &silent))
    g_hash_table_iter_replace (&iter, GINT_TO_POINTER (true));
  g_ptr_array_set_size (f->waiting_feeds, 0);
}

static bool
is_silent (struct fixture *f, const struct httpd_request *request)
{
  gpointer port = GUINT_TO_POINTER (httpd_peer_port (request));

  if (f->ports == NULL)
    return false;
  if (!g_hash_table_contains (f->ports, port))
    g_hash_table_insert (f->ports, port, GINT_TO_POINTER (false));
  return GPOINTER_TO_INT (g_hash_table_lookup (f->ports, port));
}

/* Lets a request wait for new rows for as long as it says.  */
static void
hold_feed (struct fixture *f, struct httpd_request *request)
{
  const char *wait = httpd_query (request, "WaitMs");
  int64_t wait_ms = wait != NULL ? strtoll (wait, NULL, 10) : 0;
  int64_t end_ms = ts_to_ms (clk_now (clk_monotonic ())) + wait_ms;

  httpd_set_user (request, GSIZE_TO_POINTER ((gsize)end_ms));
  g_ptr_array_add (f->waiting_feeds, request);
}

/* Answers the requests that have waited long enough.  */
static void
end_feeds (struct fixture *f)
{
  int64_t now_ms = ts_to_ms (clk_now (clk_monotonic ()));

  for (guint i = f->waiting_feeds->len; i > 0; i--)
    {
      struct httpd_request *request
          = g_ptr_array_index (f->waiting_feeds, i - 1);

      if ((int64_t)GPOINTER_TO_SIZE (httpd_get_user (request)) > now_ms)
        continue;
      g_ptr_array_remove_index (f->waiting_feeds, i - 1);
      answer_rows (f, request, false);
    }
}

static void
on_store (void *user, struct httpd_request *request)
{
  struct fixture *f = user;
  const char *path = httpd_path (request);

  if (is_silent (f, request))
    return;
  if (strcmp (path, "/v1/rows-tx") == 0)
    write_rows (f, request);
  else if (read_after (request) > f->version)
    answer_json (f, request, 410, json_object ());
  else if (!answer_rows (f, request, strcmp (path, "/v1/rows-feed") == 0))
    hold_feed (f, request);
}

static void
on_store_finished (void *user, struct httpd_request *request, bool complete)
{
  struct fixture *f = user;

  (void)complete;
  g_ptr_array_remove (f->waiting_feeds, request);
}

/* The backend server.  */

static void
append_header (void *user, const char *name, const char *value)
{
  g_string_append_printf (user, "%s: %s\n", name, value);
}

static void
on_server (void *user, struct httpd_request *request)
{
  struct fixture *f = user;

  f->at_server++;
  g_string_printf (f->last_request, "%s %s\n", httpd_method (request),
                   httpd_uri (request));
  httpd_each_header (request, append_header, f->last_request);
  handle_at_server (f, request);
}

static void
on_server_finished (void *user, struct httpd_request *request, bool complete)
{
  struct fixture *f = user;

  (void)complete;
  if (f->held == request)
    f->held = NULL;
  f->finished_at_server++;
}

#define SEAL "Parsleyrill-Response-Seal"
#define ID "Parsleyrill-Request-Id"

static void
answer (struct httpd_request *request, unsigned status, const char *body)
{
  const char *headers[]
      = { ID, httpd_header (request, ID), SEAL, "seal", NULL };

  httpd_respond (request, status, "text/plain", headers, body, strlen (body));
}

static inline void
begin_event_stream (struct httpd_request *request, const char *events)
{
  const char *headers[]
      = { ID, httpd_header (request, ID), SEAL, "seal", NULL };

  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, events, strlen (events));
}

/* The caller.  */

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;
  const struct httpc_call *call = f->call;
  const char *value;

  f->done = true;
  f->call = NULL;
  f->error = result->error;
  f->status = result->status;
  g_string_assign (f->received, result->body != NULL ? result->body : "");
  value = result->status != 0 ? httpc_response_header (call, "Retry-After")
                              : NULL;
  g_free (f->retry_after);
  f->retry_after = g_strdup (value);
}

static void
run_once (struct fixture *f)
{
  loop_run_once (f->loop, 5);
  end_feeds (f);
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition))                                                        \
  run_once (f)

static void
start_request (struct fixture *f, const char *method, const char *path,
               const char *const *headers)
{
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", gate_port (f->gate), path);
  char *id = g_strdup_printf (ID ": %s", f->id != NULL ? f->id : "r1");
  GPtrArray *all = g_ptr_array_new ();
  struct httpc_request request
      = { .method = method,
          .url = url,
          .body = f->body,
          .length = f->body != NULL ? strlen (f->body) : 0,
          .done = on_done,
          .user = f };

  for (; headers != NULL && *headers != NULL; headers++)
    g_ptr_array_add (all, (gpointer)*headers);
  g_ptr_array_add (all, (gpointer) "Host: h.example");
  g_ptr_array_add (all, id);
  g_ptr_array_add (all, NULL);
  request.headers = (const char *const *)all->pdata;
  f->done = false;
  f->call = httpc_start (f->caller, &request);
  g_ptr_array_unref (all);
  g_free (id);
  g_free (url);
}

static void
request_and_wait (struct fixture *f, const char *method, const char *path,
                  const char *const *headers)
{
  start_request (f, method, path, headers);
  RUN_UNTIL (f, f->done);
}

/* Setup.  */

static const char config[]
    = "{\"Version\":%d,\"Routes\":["
      "{\"Name\":\"safe\",\"Hostname\":\"h.example\",\"Prefix\":\"/safe/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2},"
      "{\"Name\":\"once\",\"Hostname\":\"h.example\",\"Prefix\":\"/once/\","
      "\"Kind\":\"unsafe\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2},"
      "{\"Name\":\"long\",\"Hostname\":\"h.example\",\"Prefix\":\"/long/\","
      "\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2,\"Resumable\":true,\"GapAimMs\":5000},"
      "{\"Name\":\"cut\",\"Hostname\":\"h.example\",\"Prefix\":\"/cut/\","
      "\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2,\"Resumable\":false}"
      "],\"Services\":[{\"Name\":\"app\"}],\"Limits\":{\"MaxBodyBytes\":4096}"
      "}";

static void
put_config (struct fixture *f, int version)
{
  char *text = g_strdup_printf (config, version);

  put_row (f, "op/config", text);
  g_free (text);
}

static inline void
list_server (struct fixture *f, const char *state)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"%s\",\"Sequence\":1}",
      httpd_port (f->server), state);

  put_row (f, "servers/i-1", text);
  g_free (text);
}

static void
close_upstream (void *user)
{
  struct fixture *f = user;

  httpc_free (f->upstream);
}

static struct httpd *
start_server (struct fixture *f,
              void (*request) (void *user, struct httpd_request *request),
              void (*gone) (void *user, struct httpd_request *request,
                            bool complete))
{
  struct httpd_options options = { .loop = f->loop,
                                   .address = "127.0.0.1",
                                   .head_memory = SERVER_HEAD_MEMORY,
                                   .request = request,
                                   .gone = gone,
                                   .user = f };
  struct httpd *httpd;

  g_assert_cmpint (httpd_new (&options, &httpd), ==, 0);
  return httpd;
}

static void
start_gate (struct fixture *f)
{
  struct gate_options options = { .clk = clk_monotonic (),
                                  .loop = f->loop,
                                  .settings = &f->settings,
                                  .platform = f->platform,
                                  .backend = f->backend,
                                  .catalog = document_catalog (),
                                  .drain_ms = GATE_DRAIN_MS,
                                  .close = close_upstream,
                                  .user = f };

  options.gateway.caller = callers ();
  options.gateway.front.address = "127.0.0.1";
  options.gateway.zone = "z";
  options.gateway.max_connections = 100;
  options.gateway.retry_share = f->retries >= MANY_RETRIES ? 1.0 : 0;
  options.gateway.retry_burst = f->retries;
  options.gateway.config_ms = CONFIG_MS;
  options.quota = gate_quota;
  g_assert_cmpint (gate_new (&options, &f->gate), ==, 0);
}

static void
set_up_with (struct fixture *f, double retries)
{
  struct httpc_options http = { 0 };
  struct store_options store = { 0 };
  char *address;

  memset (f, 0, sizeof *f);
  f->retries = retries;
  f->loop = loop_new (clk_monotonic ());
  f->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  f->waiting_feeds = g_ptr_array_new ();
  f->ports = g_hash_table_new (NULL, NULL);
  f->last_request = g_string_new (NULL);
  f->received = g_string_new (NULL);
  f->store = start_server (f, on_store, on_store_finished);
  f->server = start_server (f, on_server, on_server_finished);
  http.loop = f->loop;
  f->caller = httpc_new (&http);
  f->upstream = httpc_new (&http);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->store));
  store.httpc = f->upstream;
  store.address = address;
  f->platform = store_new (&store);
  f->backend = engine_new (f->upstream);
  g_free (address);
  f->settings.node = g_strdup ("n1");
  f->settings.zone = g_strdup ("z");
  f->settings.region = g_strdup ("r");
  f->settings.seeds = g_strdup ("");
  f->settings.peer_address = g_strdup ("127.0.0.1");
  f->settings.peer_token = g_strdup ("secret-of-nodes");
  f->settings.entry_ttl_s = 1;
  f->settings.heartbeat_ms = HEARTBEAT_MS;
  f->settings.loads_at_once = 4;
  start_gate (f);
}

static inline void
set_up (struct fixture *f)
{
  set_up_with (f, MANY_RETRIES);
}

/* Adds configuration and server, and waits until requests are served.  */
static inline void
wait_until_serving (struct fixture *f)
{
  put_config (f, 1);
  list_server (f, "ready");
  do
    request_and_wait (f, "GET", "/safe/warm", NULL);
  while (f->status != 200);
  f->at_server = 0;
  f->finished_at_server = 0;
}

static void
tear_down (struct fixture *f)
{
  httpc_free (f->caller);
  gate_free (f->gate);
  store_free (f->platform);
  engine_free (f->backend);
  httpd_free (f->store);
  httpd_free (f->server);
  loop_free (f->loop);
  settings_clear (&f->settings);
  g_hash_table_unref (f->rows);
  g_ptr_array_unref (f->waiting_feeds);
  g_hash_table_unref (f->ports);
  g_string_free (f->last_request, TRUE);
  g_string_free (f->received, TRUE);
  g_free (f->retry_after);
}

#endif
