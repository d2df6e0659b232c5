#include "backend_http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <ck_queue.h>
#include <glib.h>
#include <jansson.h>
#include "counter.h"

CK_LIST_HEAD (call_list, call);

struct backend_http
{
  struct backend backend; /* first */
  struct httpc *httpc;
  struct call_list calls;
  int64_t order_ms;
  int64_t report_ms;
};

struct call
{
  CK_LIST_ENTRY (call) link;
  struct backend_http *http;
  struct httpc_call *httpc_call;
  void (*finish) (struct call *call, const struct httpc_result *result);
  void (*order_done) (void *user, enum backend_status status, const char *why);
  void (*report_done) (void *user, enum backend_status status,
                       const struct backend_report *report);
  void *user;
};

static const char *const order_names[]
    = { [BACKEND_LOAD] = "load",
        [BACKEND_UNLOAD] = "unload",
        [BACKEND_ADAPTER_LOAD] = "adapter_load",
        [BACKEND_ADAPTER_UNLOAD] = "adapter_unload",
        [BACKEND_PRELOAD] = "preload",
        [BACKEND_ROLE] = "role" };

static enum backend_status
status_of (const struct httpc_result *result, const json_t *json)
{
  const json_t *error = json_object_get (json, "error");

  if (result->phase == HTTPC_UNSENT)
    return BACKEND_REFUSED;
  if (result->error != 0)
    return BACKEND_UNKNOWN;
  if (result->status == 200)
    return BACKEND_ACCEPTED;
  if (result->status == 412)
    return BACKEND_FENCED;
  if (result->status >= 400 && result->status < 500)
    return BACKEND_REFUSED;
  return json_is_true (json_object_get (error, "not_run")) ? BACKEND_REFUSED
                                                           : BACKEND_UNKNOWN;
}

static const char *
reason_of (const struct httpc_result *result, const json_t *json)
{
  const json_t *error = json_object_get (json, "error");
  const char *why = json_string_value (error);

  if (result->error != 0)
    return strerror (-result->error);
  if (why == NULL)
    why = json_string_value (json_object_get (error, "message"));
  return why != NULL ? why : "";
}

static json_t *
decode_body (const struct httpc_result *result)
{
  if (result->body == NULL)
    return NULL;
  return json_loadb (result->body, result->length, 0, NULL);
}

static void
finish_order (struct call *call, const struct httpc_result *result)
{
  json_t *json = decode_body (result);

  call->order_done (call->user, status_of (result, json),
                    reason_of (result, json));
  json_decref (json);
}

static const char *
text_of (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

static uint64_t
number_of (const json_t *json, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (json, key));

  return number > 0 ? (uint64_t)number : 0;
}

static enum backend_copy_state
copy_state (const char *name)
{
  if (strcmp (name, "loaded") == 0)
    return BACKEND_COPY_LOADED;
  if (strcmp (name, "unloading") == 0)
    return BACKEND_COPY_UNLOADING;
  return BACKEND_COPY_LOADING;
}

static struct backend_copy *
decode_copies (const json_t *array, const char *name_key, size_t *count)
{
  struct backend_copy *copies;
  size_t i;
  json_t *item;

  *count = json_array_size (array);
  copies = g_new0 (struct backend_copy, *count);
  json_array_foreach (array, i, item)
    {
      copies[i].model = text_of (item, name_key);
      copies[i].version = text_of (item, "version");
      copies[i].state = copy_state (text_of (item, "state"));
      copies[i].memory_mb = number_of (item, "memory_mb");
      copies[i].active = (unsigned)number_of (item, "active");
    }
  return copies;
}

static const char **
decode_names (const json_t *array, size_t *count)
{
  const char **names;
  size_t i;
  json_t *item;

  *count = json_array_size (array);
  names = g_new0 (const char *, *count);
  json_array_foreach (array, i, item)
    {
      const char *text = json_string_value (item);

      names[i] = text != NULL ? text : "";
    }
  return names;
}

static void
decode_numbers (const json_t *json, struct backend_report *report)
{
  report->engine = text_of (json, "engine");
  report->role = text_of (json, "role");
  report->epoch = number_of (json, "epoch");
  report->seq = number_of (json, "seq");
  report->fence = number_of (json, "fence");
  report->age_ms = (int64_t)number_of (json, "age_ms");
  report->leaving = json_is_true (json_object_get (json, "leaving"));
  report->memory_mb = number_of (json, "memory_mb");
  report->memory_used_mb = number_of (json, "memory_used_mb");
  report->accelerators = (unsigned)number_of (json, "accelerators");
  report->slots = (unsigned)number_of (json, "slots");
  report->running = (unsigned)number_of (json, "running");
  report->queued = (unsigned)number_of (json, "queued");
}

/* The strings of the report are borrowed from JSON.  */
static void
deliver_report (struct call *call, const json_t *json)
{
  struct backend_report report = { 0 };
  struct backend_copy *models;
  struct backend_copy *adapters;
  const char **on_disk;
  const char **settled;

  decode_numbers (json, &report);
  models = decode_copies (json_object_get (json, "models"), "model",
                          &report.model_count);
  adapters = decode_copies (json_object_get (json, "adapters"), "adapter",
                            &report.adapter_count);
  on_disk = decode_names (json_object_get (json, "on_disk"),
                          &report.on_disk_count);
  settled = decode_names (json_object_get (json, "settled"),
                          &report.settled_count);
  report.models = models;
  report.adapters = adapters;
  report.on_disk = on_disk;
  report.settled = settled;
  call->report_done (call->user, BACKEND_ACCEPTED, &report);
  g_free (models);
  g_free (adapters);
  g_free (on_disk);
  g_free (settled);
}

static void
finish_report (struct call *call, const struct httpc_result *result)
{
  json_t *json = decode_body (result);
  enum backend_status status = status_of (result, json);

  if (result->error == -ECONNREFUSED)
    status = BACKEND_DOWN;
  if (status == BACKEND_ACCEPTED
      && !json_is_integer (json_object_get (json, "epoch")))
    status = BACKEND_UNKNOWN;
  if (status == BACKEND_ACCEPTED)
    deliver_report (call, json);
  else
    call->report_done (call->user, status, NULL);
  json_decref (json);
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct call *call = user;

  CK_LIST_REMOVE (call, link);
  if (result->error != 0)
    counter_add (COUNTER_BACKEND_ERRORS, 1);
  call->finish (call, result);
  g_free (call);
}

static void
start (struct backend_http *http, struct call *call, const char *address,
       const char *path, const char *body, int64_t timeout_ms)
{
  static const char *const json[] = { "Content-Type: application/json", NULL };
  char *url = g_strdup_printf ("http://%s%s", address, path);
  struct httpc_request request
      = { .url = url,
          .body = body,
          .length = body != NULL ? strlen (body) : 0,
          .headers = body != NULL ? json : NULL,
          .timeout_ms = timeout_ms,
          .connect_timeout_ms = BACKEND_HTTP_CONNECT_MS,
          .fresh_connection = body != NULL,
          .done = on_done,
          .user = call };

  call->http = http;
  CK_LIST_INSERT_HEAD (&http->calls, call, link);
  call->httpc_call = httpc_start (http->httpc, &request);
  if (call->httpc_call == NULL)
    g_error ("cannot start a call to an engine: out of memory");
  g_free (url);
}

static void
set_text (json_t *json, const char *key, const char *text)
{
  if (text != NULL)
    json_object_set_new (json, key, json_string (text));
}

static char *
encode_order (const struct backend_order *order)
{
  json_t *json = json_object ();
  char *text;

  set_text (json, "order_id", order->order_id);
  set_text (json, "type", order_names[order->type]);
  set_text (json, "model", order->model);
  set_text (json, "version", order->version);
  set_text (json, "adapter", order->adapter);
  set_text (json, "role", order->role);
  json_object_set_new (json, "memory_mb",
                       json_integer ((json_int_t)order->memory_mb));
  json_object_set_new (json, "fence", json_integer ((json_int_t)order->fence));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static void
http_order (struct backend *backend, const struct backend_order *order,
            void (*done) (void *user, enum backend_status status,
                          const char *why),
            void *user)
{
  struct backend_http *http = (struct backend_http *)backend;
  struct call *call = g_new0 (struct call, 1);
  char *body = encode_order (order);

  call->finish = finish_order;
  call->order_done = done;
  call->user = user;
  start (http, call, order->address, "/admin/order", body, http->order_ms);
  free (body);
}

static void
http_report (struct backend *backend, const char *engine, const char *address,
             void (*done) (void *user, enum backend_status status,
                           const struct backend_report *report),
             void *user)
{
  struct backend_http *http = (struct backend_http *)backend;
  struct call *call = g_new0 (struct call, 1);

  (void)engine;
  call->finish = finish_report;
  call->report_done = done;
  call->user = user;
  start (http, call, address, "/admin/report", NULL, http->report_ms);
}

static const struct backend_ops ops
    = { .order = http_order, .report = http_report };

struct backend *
backend_http_new (const struct backend_http_options *options)
{
  struct backend_http *http = g_new0 (struct backend_http, 1);

  http->backend.ops = &ops;
  http->httpc = options->httpc;
  http->order_ms
      = options->order_ms != 0 ? options->order_ms : BACKEND_HTTP_ORDER_MS;
  http->report_ms
      = options->report_ms != 0 ? options->report_ms : BACKEND_HTTP_REPORT_MS;
  CK_LIST_INIT (&http->calls);
  return &http->backend;
}

static void
abandon (struct call *call)
{
  struct httpc_result result = { .phase = httpc_phase (call->httpc_call),
                                 .error = -ECANCELED,
                                 .content_type = "" };

  CK_LIST_REMOVE (call, link);
  httpc_cancel (call->httpc_call);
  call->finish (call, &result);
  g_free (call);
}

void
backend_http_free (struct backend *backend)
{
  struct backend_http *http = (struct backend_http *)backend;
  struct call *call;

  if (backend == NULL)
    return;
  while ((call = CK_LIST_FIRST (&http->calls)) != NULL)
    abandon (call);
  g_free (http);
}
