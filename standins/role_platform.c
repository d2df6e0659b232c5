#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include "fetch.h"
#include "role.h"
#include "table.h"
#include "ts.h"

#define DEFAULT_SCAN_LIMIT 10000
#define BURST_S 0.25 /* size of a token bucket, in seconds of its rate */

struct token_bucket
{
  double rate; /* tokens per second; 0: no limit */
  double tokens;
  struct timespec refilled_at;
};

struct platform_role
{
  struct standin standin; /* first */
  struct role_platform_options options;
  struct table *table;
  GHashTable *objects; /* key -> GBytes */
  struct token_bucket writes;
  struct token_bucket reads;
  struct fetch_store models;
  struct fetch_store adapters;
  GQueue *snapshots; /* struct instance_snapshot, newest last, not empty */
};

struct instance_snapshot
{
  struct timespec set_at;
  json_t *instances;
};

struct weight_fetch
{
  struct fetch fetch; /* first */
  struct standin_call *call;
};

struct standin *
role_platform_new (const struct role_platform_options *options)
{
  struct platform_role *role = g_new0 (struct platform_role, 1);

  role->options = *options;
  return &role->standin;
}

static bool
take_token (struct platform_role *role, struct token_bucket *bucket)
{
  struct timespec now = loop_now (role->standin.loop);
  double capacity = bucket->rate * BURST_S;

  if (bucket->rate <= 0)
    return true;
  bucket->tokens += ts_to_s (ts_sub (now, bucket->refilled_at)) * bucket->rate;
  bucket->refilled_at = now;
  if (bucket->tokens > capacity)
    bucket->tokens = capacity;
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

/* Responds with 429 and returns true when the rate limit is exceeded.  */
static bool
reject_over_rate (struct platform_role *role, struct standin_call *call,
                  struct token_bucket *bucket)
{
  if (take_token (role, bucket))
    return false;
  standin_error (call, 429, "rate_limit", "rate limit exceeded", true);
  return true;
}

static void
handle_txn (struct platform_role *role, struct standin_call *call)
{
  json_t *body;
  json_t *response;
  unsigned status;

  if (reject_over_rate (role, call, &role->writes))
    return;
  body = standin_parse_body (call);
  if (body == NULL)
    return;
  status = table_txn (role->table, body, &response);
  json_decref (body);
  standin_respond (call, status, response);
}

static void
handle_scan (struct platform_role *role, struct standin_call *call)
{
  const char *prefix = httpd_query (call->request, "prefix");
  const char *limit = httpd_query (call->request, "limit");
  size_t max_rows
      = limit != NULL ? strtoul (limit, NULL, 10) : DEFAULT_SCAN_LIMIT;

  if (reject_over_rate (role, call, &role->reads))
    return;
  standin_respond (
      call, 200,
      table_scan (role->table, prefix != NULL ? prefix : "", max_rows));
}

static void
get_object (struct platform_role *role, struct standin_call *call,
            const char *key)
{
  GBytes *bytes = g_hash_table_lookup (role->objects, key);
  gsize length;
  const void *data;

  if (bytes == NULL)
    {
      standin_error (call, 404, "absent", "no such object", true);
      return;
    }
  data = g_bytes_get_data (bytes, &length);
  httpd_respond (call->request, 200, "application/octet-stream", NULL, data,
                 length);
}

static void
handle_object (struct platform_role *role, struct standin_call *call,
               const char *key)
{
  const char *method = httpd_method (call->request);
  bool read = strcmp (method, "GET") == 0;
  const char *body;
  size_t length;

  if (reject_over_rate (role, call, read ? &role->reads : &role->writes))
    return;
  if (read)
    {
      get_object (role, call, key);
      return;
    }
  if (strcmp (method, "PUT") == 0)
    {
      body = httpd_body (call->request, &length);
      g_hash_table_replace (role->objects, g_strdup (key),
                            g_bytes_new (body, length));
    }
  else
    g_hash_table_remove (role->objects, key);
  standin_respond (call, 200, json_object ());
}

static void
snapshot_free (struct instance_snapshot *snapshot)
{
  json_decref (snapshot->instances);
  g_free (snapshot);
}

static int64_t
instances_lag_ms (const struct platform_role *role)
{
  const json_t *fault
      = json_object_get (role->standin.faults, "instances_lag_ms");

  return fault != NULL ? json_integer_value (fault)
                       : role->options.instances_lag_ms;
}

/* The instance list as it was instances_lag_ms ago, or the oldest one if all
   are newer.  Frees older ones.  */
static json_t *
visible_instances (struct platform_role *role)
{
  struct timespec as_of
      = ts_add_ms (loop_now (role->standin.loop), -instances_lag_ms (role));
  const struct instance_snapshot *head;
  const struct instance_snapshot *next;

  while ((next = g_queue_peek_nth (role->snapshots, 1)) != NULL
         && !ts_before (as_of, next->set_at))
    snapshot_free (g_queue_pop_head (role->snapshots));
  head = g_queue_peek_head (role->snapshots);
  return json_incref (head->instances);
}

static void
add_snapshot (struct platform_role *role, json_t *instances)
{
  struct instance_snapshot *snapshot = g_new (struct instance_snapshot, 1);

  snapshot->set_at = loop_now (role->standin.loop);
  snapshot->instances = instances;
  g_queue_push_tail (role->snapshots, snapshot);
}

static void
handle_set_instances (struct platform_role *role, struct standin_call *call)
{
  json_t *body = standin_parse_body (call);
  json_t *instances = json_object_get (body, "instances");

  if (body == NULL)
    return;
  if (!json_is_array (instances))
    standin_error (call, 400, "bad_request", "\"instances\" is not an array",
                   true);
  else
    {
      add_snapshot (role, json_incref (instances));
      standin_respond (call, 200, json_object ());
    }
  json_decref (body);
}

static void
fetch_done (struct fetch *fetch)
{
  struct weight_fetch *weight = (struct weight_fetch *)fetch;

  standin_respond (weight->call, 200, json_object ());
}

static void
handle_fetch (struct standin_call *call, struct fetch_store *store, double ms)
{
  struct weight_fetch *weight = g_new0 (struct weight_fetch, 1);
  int64_t factor = standin_fault_int (call->standin, "weights_slow");

  if (factor > 0)
    ms *= (double)factor;
  weight->call = call;
  weight->fetch.done = fetch_done;
  call->role = weight;
  fetch_begin (store, &weight->fetch, ms / (double)TS_MS_PER_S);
}

static json_t *
status_to_json (const struct platform_role *role)
{
  return json_pack ("{s:i,s:i,s:i,s:i}", "loads", (int)role->models.started,
                    "most_loads_at_once", (int)role->models.peak,
                    "adapter_fetches", (int)role->adapters.started,
                    "most_adapter_fetches_at_once", (int)role->adapters.peak);
}

static void
on_request (struct standin *standin, struct standin_call *call)
{
  struct platform_role *role = (struct platform_role *)standin;
  const char *path = httpd_path (call->request);
  static const char objects[] = "/v1/objects/";

  if (strcmp (path, "/v1/table/txn") == 0)
    handle_txn (role, call);
  else if (strcmp (path, "/v1/table/scan") == 0)
    handle_scan (role, call);
  else if (g_str_has_prefix (path, objects))
    handle_object (role, call, path + strlen (objects));
  else if (strcmp (path, "/v1/instances") == 0)
    standin_respond (
        call, 200, json_pack ("{s:o}", "instances", visible_instances (role)));
  else if (strcmp (path, "/instances") == 0)
    handle_set_instances (role, call);
  else if (strcmp (path, "/v1/weights") == 0)
    handle_fetch (call, &role->models, role->options.load_ms);
  else if (strcmp (path, "/v1/adapters") == 0)
    handle_fetch (call, &role->adapters, role->options.adapter_ms);
  else if (strcmp (path, "/status") == 0)
    standin_respond (call, 200, status_to_json (role));
  else
    standin_error (call, 404, "absent", "no such path", true);
}

static void
on_gone (struct standin *standin, struct standin_call *call)
{
  struct weight_fetch *weight = call->role;

  (void)standin;
  if (weight != NULL)
    fetch_cancel (&weight->fetch);
  g_free (weight);
}

static int
start (struct standin *standin)
{
  struct platform_role *role = (struct platform_role *)standin;
  const struct role_platform_options *o = &role->options;

  role->table = table_new ();
  role->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_bytes_unref);
  role->snapshots = g_queue_new ();
  add_snapshot (role, json_array ());
  role->writes.rate = o->writes_per_s;
  role->reads.rate = o->reads_per_s;
  fetch_store_init (&role->models, standin->loop, o->loads_per_s,
                    o->load_knee);
  fetch_store_init (&role->adapters, standin->loop, 0, o->adapter_knee);
  return 0;
}

static void
stop (struct standin *standin)
{
  struct platform_role *role = (struct platform_role *)standin;

  g_queue_free_full (role->snapshots, (GDestroyNotify)snapshot_free);
  g_hash_table_unref (role->objects);
  table_free (role->table);
}

const struct standin_ops role_platform_ops = { .name = "platform",
                                               .start = start,
                                               .stop = stop,
                                               .request = on_request,
                                               .gone = on_gone };
