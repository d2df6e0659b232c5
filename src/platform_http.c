#include "platform_http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <ck_queue.h>
#include <glib.h>
#include <jansson.h>
#include "badrow.h"
#include "counter.h"
#include "log.h"
#include "netaddr.h"

CK_LIST_HEAD (call_list, call);

struct platform_http
{
  struct platform platform; /* must be first: it is cast to this struct */
  struct httpc *httpc;
  struct call_list calls;
  char *address;
  int64_t timeout_ms;
  int64_t connect_timeout_ms;
  bool failing;
};

/* A pending call.  FINISH decodes the response and runs the callback.  */
struct call
{
  CK_LIST_ENTRY (call) link;
  struct platform_http *http;
  struct httpc_call *httpc_call;
  const char *operation; /* for the log */
  char *read_path;       /* of a read that may be retried, else NULL */
  void (*finish) (struct call *call, enum platform_status status,
                  const struct httpc_result *result);
  union
  {
    struct platform_txn_cb txn;
    struct platform_rows_cb rows;
    struct platform_object_cb object;
    struct platform_instances_cb instances;
  } cb;
};

static struct platform_http *
http_of_platform (struct platform *platform)
{
  return (struct platform_http *)platform;
}

/* Whether the platform reports that it did not execute the call.  */
static bool
reports_not_run (const struct httpc_result *result)
{
  json_t *json = json_loadb (result->body, result->length, 0, NULL);
  bool not_run = json_is_true (
      json_object_get (json_object_get (json, "error"), "not_run"));

  json_decref (json);
  return not_run;
}

static enum platform_status
status_of (const struct httpc_result *result)
{
  if (result->phase == HTTPC_UNSENT)
    return PLATFORM_REFUSED;
  if (result->error != 0)
    return PLATFORM_UNKNOWN;
  if (result->status == 200)
    return PLATFORM_OK;
  if (result->status == 404)
    return PLATFORM_NOT_FOUND;
  if (result->status == 409)
    return PLATFORM_CONFLICT;
  if (result->status >= 400 && result->status < 500)
    return PLATFORM_REFUSED;
  return reports_not_run (result) ? PLATFORM_REFUSED : PLATFORM_UNKNOWN;
}

static void
log_health (const struct platform_http *http, const char *operation,
            const struct httpc_result *result)
{
  struct log_line line;

  log_begin (&line,
             http->failing ? EVENT_PLATFORM_ERROR : EVENT_PLATFORM_BACK);
  log_str (&line, "call", operation);
  log_str (&line, "address", http->address);
  log_int (&line, "status", result->status);
  log_str (&line, "error",
           result->error != 0 ? strerror (-result->error) : "");
  log_end (&line);
}

static void
update_health (struct platform_http *http, const char *operation,
               enum platform_status status, const struct httpc_result *result)
{
  bool failed = status == PLATFORM_REFUSED || status == PLATFORM_UNKNOWN;

  if (failed)
    counter_add (COUNTER_PLATFORM_ERRORS, 1);
  if (failed == http->failing)
    return;
  http->failing = failed;
  log_health (http, operation, result);
}

static void
call_free (struct call *call)
{
  g_free (call->read_path);
  g_free (call);
}

static void send_call (struct platform_http *http, struct call *call,
                       const char *method, const char *path, const void *body,
                       size_t length);

/* Retries a read once when its connection broke.  */
static bool
retry_read (struct call *call, const struct httpc_result *result)
{
  char *path = call->read_path;

  if (path == NULL || result->error != -ECONNRESET)
    return false;
  call->read_path = NULL;
  send_call (call->http, call, NULL, path, NULL, 0);
  g_free (path);
  return true;
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct call *call = user;
  struct platform_http *http = call->http;
  enum platform_status status = status_of (result);

  CK_LIST_REMOVE (call, link);
  if (retry_read (call, result))
    return;
  update_health (http, call->operation, status, result);
  call->finish (call, status, result);
  call_free (call);
}

static void
send_call (struct platform_http *http, struct call *call, const char *method,
           const char *path, const void *body, size_t length)
{
  static const char *const json[] = { "Content-Type: application/json", NULL };
  char *url = g_strdup_printf ("http://%s%s", http->address, path);
  struct httpc_request request
      = { .method = method,
          .url = url,
          .body = body,
          .length = length,
          .headers = body != NULL ? json : NULL,
          .timeout_ms = http->timeout_ms,
          .connect_timeout_ms = http->connect_timeout_ms,
          .fresh_connection = http->failing,
          .done = on_done,
          .user = call };

  call->http = http;
  CK_LIST_INSERT_HEAD (&http->calls, call, link);
  call->httpc_call = httpc_start (http->httpc, &request);
  if (call->httpc_call == NULL)
    g_error ("out of memory: cannot start a call to the platform");
  g_free (url);
}

static void
rows_clear (struct platform_rows *rows)
{
  for (size_t i = 0; i < rows->count; i++)
    free (rows->rows[i].value);
  g_free (rows->rows);
}

static bool
decode_row (const json_t *json, struct platform_row *row)
{
  const json_t *value = json_object_get (json, "value");
  const char *key = json_string_value (json_object_get (json, "key"));
  const char *token = json_string_value (json_object_get (json, "token"));

  if (key == NULL || value == NULL)
    return false;
  row->key = (char *)key;
  row->token = (char *)(token != NULL ? token : "");
  row->version
      = (uint64_t)json_integer_value (json_object_get (json, "version"));
  if (!json_is_null (value))
    row->value = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  return true;
}

/* Decodes the rows of JSON, from which ROWS borrows keys and tokens.  False if
   JSON is malformed; ROWS must be cleared in any case.  */
static bool
decode_rows (const json_t *json, struct platform_rows *rows)
{
  const json_t *array = json_object_get (json, "rows");
  size_t i;
  json_t *item;

  if (!json_is_array (array))
    return false;
  rows->rows = g_new0 (struct platform_row, json_array_size (array));
  json_array_foreach (array, i, item)
    {
      if (!decode_row (item, &rows->rows[i]))
        return false;
      rows->count++;
    }
  return true;
}

static json_t *
decode_body (const struct httpc_result *result)
{
  if (result->body == NULL)
    return NULL;
  return json_loadb (result->body, result->length, 0, NULL);
}

static void
finish_txn (struct call *call, enum platform_status status,
            const struct httpc_result *result)
{
  json_t *json = decode_body (result);
  const json_t *committed = json_object_get (json, "committed");
  struct platform_rows rows = { 0 };

  if (status == PLATFORM_OK && !json_is_true (committed))
    status = PLATFORM_UNKNOWN;
  if (status == PLATFORM_NOT_FOUND)
    status = PLATFORM_REFUSED;
  if (status == PLATFORM_CONFLICT
      && (!json_is_false (committed) || !decode_rows (json, &rows)))
    status = PLATFORM_UNKNOWN;
  call->cb.txn.done (call->cb.txn.user, status, &rows);
  rows_clear (&rows);
  json_decref (json);
}

static void
finish_scan (struct call *call, enum platform_status status,
             const struct httpc_result *result)
{
  json_t *json = decode_body (result);
  struct platform_rows rows = { 0 };

  if (status == PLATFORM_OK && !decode_rows (json, &rows))
    status = PLATFORM_UNKNOWN;
  call->cb.rows.done (call->cb.rows.user, status, &rows);
  rows_clear (&rows);
  json_decref (json);
}

static void
finish_object (struct call *call, enum platform_status status,
               const struct httpc_result *result)
{
  bool ok = status == PLATFORM_OK;

  call->cb.object.done (call->cb.object.user, status, ok ? result->body : NULL,
                        ok ? result->length : 0);
}

static char *
string_member (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return (char *)(text != NULL ? text : "");
}

/* Returns NULL, or why INSTANCE names no instance.  */
static const char *
instance_fault (const struct platform_instance *instance)
{
  const char *colon = strrchr (instance->address, ':');

  if (*instance->id == '\0')
    return "expected an object with an id";
  return colon != NULL && netaddr_is_port (colon + 1)
             ? NULL
             : "expected an address with a port";
}

static bool
decode_instances (const json_t *json, struct platform_instances *list)
{
  const json_t *array = json_object_get (json, "instances");
  size_t i;
  json_t *item;

  if (!json_is_array (array))
    return false;
  list->instances
      = g_new0 (struct platform_instance, MAX (json_array_size (array), 1));
  json_array_foreach (array, i, item)
    {
      struct platform_instance *instance = &list->instances[list->count];
      const char *fault;

      instance->id = string_member (item, "id");
      instance->address = string_member (item, "address");
      instance->zone = string_member (item, "zone");
      instance->region = string_member (item, "region");
      instance->pool = string_member (item, "pool");
      instance->leaving = json_is_true (json_object_get (item, "leaving"));
      fault = instance_fault (instance);
      if (fault == NULL)
        list->count++;
      else
        badrow_log ("instances", instance->id, fault);
    }
  return true;
}

static void
finish_instances (struct call *call, enum platform_status status,
                  const struct httpc_result *result)
{
  json_t *json = decode_body (result);
  struct platform_instances list = { 0 };

  if (status == PLATFORM_OK && !decode_instances (json, &list))
    status = PLATFORM_UNKNOWN;
  call->cb.instances.done (call->cb.instances.user, status, &list);
  g_free (list.instances);
  json_decref (json);
}

static void
append_json_string (GString *out, const char *text)
{
  json_t *json = json_string (text);
  char *encoded = json_dumps (json, JSON_ENCODE_ANY);

  g_string_append (out, encoded != NULL ? encoded : "\"\"");
  free (encoded);
  json_decref (json);
}

static void
append_checks (GString *out, const struct platform_txn *txn)
{
  for (size_t i = 0; i < txn->check_count; i++)
    {
      g_string_append (out, i > 0 ? ",{\"key\":" : "{\"key\":");
      append_json_string (out, txn->checks[i].key);
      g_string_append_printf (out, ",\"version\":%" G_GUINT64_FORMAT "}",
                              txn->checks[i].version);
    }
}

/* Values are JSON texts and are inserted unchanged.  */
static void
append_writes (GString *out, const struct platform_txn *txn)
{
  for (size_t i = 0; i < txn->write_count; i++)
    {
      const char *value = txn->writes[i].value;

      g_string_append (out, i > 0 ? ",{\"key\":" : "{\"key\":");
      append_json_string (out, txn->writes[i].key);
      g_string_append (out, ",\"value\":");
      g_string_append (out, value != NULL ? value : "null");
      g_string_append_c (out, '}');
    }
}

static struct call *
call_new (const char *operation,
          void (*finish) (struct call *call, enum platform_status status,
                          const struct httpc_result *result))
{
  struct call *call = g_new0 (struct call, 1);

  call->operation = operation;
  call->finish = finish;
  return call;
}

static void
http_txn (struct platform *platform, const struct platform_txn *txn,
          struct platform_txn_cb cb)
{
  struct call *call = call_new ("txn", finish_txn);
  GString *body = g_string_new ("{\"token\":");

  append_json_string (body, txn->token);
  g_string_append (body, ",\"checks\":[");
  append_checks (body, txn);
  g_string_append (body, "],\"writes\":[");
  append_writes (body, txn);
  g_string_append (body, "]}");
  call->cb.txn = cb;
  counter_add (COUNTER_TABLE_WRITES, 1);
  send_call (http_of_platform (platform), call, "POST", "/v1/table/txn",
             body->str, body->len);
  g_string_free (body, TRUE);
}

static void
start_read (struct platform *platform, struct call *call, const char *path)
{
  call->read_path = g_strdup (path);
  send_call (http_of_platform (platform), call, NULL, path, NULL, 0);
}

static void
http_scan (struct platform *platform, const char *prefix, size_t limit,
           struct platform_rows_cb cb)
{
  struct call *call = call_new ("scan", finish_scan);
  char *escaped = g_uri_escape_string (prefix, "/:", FALSE);
  char *path
      = g_strdup_printf ("/v1/table/scan?prefix=%s&limit=%zu", escaped, limit);

  call->cb.rows = cb;
  counter_add (COUNTER_TABLE_READS, 1);
  start_read (platform, call, path);
  g_free (path);
  g_free (escaped);
}

static void
object_call (struct platform *platform, const char *method, const char *key,
             const void *bytes, size_t length, struct platform_object_cb cb)
{
  struct call *call = call_new ("object", finish_object);
  char *escaped = g_uri_escape_string (key, "/:", FALSE);
  char *path = g_strdup_printf ("/v1/objects/%s", escaped);

  call->cb.object = cb;
  if (method == NULL)
    start_read (platform, call, path);
  else
    send_call (http_of_platform (platform), call, method, path, bytes, length);
  g_free (path);
  g_free (escaped);
}

static void
http_object_get (struct platform *platform, const char *key,
                 struct platform_object_cb cb)
{
  counter_add (COUNTER_TABLE_READS, 1);
  object_call (platform, NULL, key, NULL, 0, cb);
}

static void
http_object_put (struct platform *platform, const char *key, const void *bytes,
                 size_t length, struct platform_object_cb cb)
{
  counter_add (COUNTER_TABLE_WRITES, 1);
  object_call (platform, "PUT", key, length > 0 ? bytes : "", length, cb);
}

static void
http_object_delete (struct platform *platform, const char *key,
                    struct platform_object_cb cb)
{
  counter_add (COUNTER_TABLE_WRITES, 1);
  object_call (platform, "DELETE", key, NULL, 0, cb);
}

static void
http_instances (struct platform *platform, struct platform_instances_cb cb)
{
  struct call *call = call_new ("instances", finish_instances);

  call->cb.instances = cb;
  start_read (platform, call, "/v1/instances");
}

static const struct platform_ops ops = { .txn = http_txn,
                                         .scan = http_scan,
                                         .object_get = http_object_get,
                                         .object_put = http_object_put,
                                         .object_delete = http_object_delete,
                                         .instances = http_instances };

struct platform *
platform_http_new (const struct platform_http_options *options)
{
  struct platform_http *http = g_new0 (struct platform_http, 1);

  http->platform.ops = &ops;
  http->httpc = options->httpc;
  http->address = g_strdup (options->address);
  http->timeout_ms = options->timeout_ms != 0 ? options->timeout_ms
                                              : PLATFORM_HTTP_TIMEOUT_MS;
  http->connect_timeout_ms = options->connect_timeout_ms != 0
                                 ? options->connect_timeout_ms
                                 : PLATFORM_HTTP_CONNECT_TIMEOUT_MS;
  CK_LIST_INIT (&http->calls);
  return &http->platform;
}

static void
cancel_call (struct call *call)
{
  struct httpc_result result = { .phase = httpc_phase (call->httpc_call),
                                 .error = -ECANCELED,
                                 .content_type = "" };

  CK_LIST_REMOVE (call, link);
  httpc_cancel (call->httpc_call);
  call->finish (call, status_of (&result), &result);
  call_free (call);
}

void
platform_http_free (struct platform *platform)
{
  struct platform_http *http = http_of_platform (platform);
  struct call *call;

  if (platform == NULL)
    return;
  while ((call = CK_LIST_FIRST (&http->calls)) != NULL)
    cancel_call (call);
  g_free (http->address);
  g_free (http);
}
